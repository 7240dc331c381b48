//! Sends the queries of an experiment.

use {
    crate::load::{
        arrivals::{self, Arrival},
        experiment::Experiment,
        tally::{Outcome, PhaseTally},
    },
    anyhow::Result,
    http::Request,
    http_body_util::{BodyExt, Full},
    hyper::body::Bytes,
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::TokioExecutor,
    },
    rand::{rngs::StdRng, SeedableRng},
    record::Rank,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep_until, timeout},
    },
};

/// Time after which a query without an answer counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Where the queries go.
pub(crate) struct Target {
    /// Addresses of the entries, used in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Name of the route.
    pub(crate) route: String,
    /// Query for the upstreams, as JSON.
    pub(crate) body: String,
    /// Deadline that each query names, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// Number of tenants, used in turn.
    pub(crate) tenants: u32,
}

/// Sends the queries of an experiment.
pub(crate) struct Runner {
    target: Arc<Target>,
    client: Client<HttpConnector, Full<Bytes>>,
    rng: StdRng,
}

struct EndedQuery {
    rank: Rank,
    outcome: Outcome,
    latency: Duration,
}

#[derive(Deserialize)]
struct AnswerBody {
    coverage: AnswerCoverage,
}

#[derive(Deserialize)]
struct AnswerCoverage {
    share: f64,
}

#[derive(Deserialize)]
struct ProblemBody {
    kind: String,
    ran: String,
}

impl Runner {
    /// Creates a runner whose arrival times are determined by `seed`.
    pub(crate) fn new(target: Target, seed: u64) -> Self {
        Self {
            target: Arc::new(target),
            client: Client::builder(TokioExecutor::new()).build_http(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Runs all phases and returns a tally for each.
    pub(crate) async fn run(mut self, experiment: &Experiment) -> Vec<PhaseTally> {
        let mut tallies = Vec::with_capacity(experiment.phases.len());
        for phase in &experiment.phases {
            let arrivals = arrivals::draw(phase, &mut self.rng);
            tallies.push(self.run_phase(&arrivals, phase.duration).await);
        }
        tallies
    }

    async fn run_phase(&self, arrivals: &[Arrival], duration: Duration) -> PhaseTally {
        let start = Instant::now();
        let mut queries = JoinSet::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            let planned = start + arrival.at;
            sleep_until(planned.into()).await;
            let query = send_one(
                self.client.clone(),
                Arc::clone(&self.target),
                index,
                arrival.rank,
            );
            let rank = arrival.rank;
            queries.spawn(async move {
                let outcome = query.await;
                EndedQuery {
                    rank,
                    outcome,
                    latency: planned.elapsed(),
                }
            });
        }
        sleep_until((start + duration).into()).await;
        let mut tally = PhaseTally::default();
        while let Some(ended) = queries.join_next().await {
            // Query tasks neither panic nor are aborted.
            if let Ok(ended) = ended {
                tally
                    .get_mut(ended.rank)
                    .record_outcome(ended.outcome, ended.latency);
            }
        }
        tally
    }
}

async fn send_one(
    client: Client<HttpConnector, Full<Bytes>>,
    target: Arc<Target>,
    index: usize,
    rank: Rank,
) -> Outcome {
    let exchange = try_send(&client, &target, index, rank);
    match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => lost_outcome("no-connection"),
        Err(_) => lost_outcome("no-answer"),
    }
}

async fn try_send(
    client: &Client<HttpConnector, Full<Bytes>>,
    target: &Target,
    index: usize,
    rank: Rank,
) -> Result<Outcome> {
    let entry = target.entries[index % target.entries.len()];
    let tenant = index % target.tenants.max(1) as usize;
    let mut request = Request::post(format!("http://{entry}/v1/query/{}", target.route))
        .header("x-wharf-tenant", format!("tenant-{tenant}"))
        .header("x-wharf-rank", rank.as_str());
    if let Some(deadline_ms) = target.deadline_ms {
        request = request.header("x-wharf-deadline-ms", deadline_ms);
    }
    let request = request.body(Full::new(Bytes::from(target.body.clone())))?;
    let response = client.request(request).await?;
    let is_answer = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    if is_answer {
        let answer: AnswerBody = serde_json::from_slice(&body)?;
        return Ok(Outcome::Answered {
            coverage_share: answer.coverage.share,
        });
    }
    let problem: ProblemBody = serde_json::from_slice(&body)?;
    Ok(Outcome::Refused {
        kind: problem.kind,
        ran: problem.ran,
    })
}

fn lost_outcome(kind: &str) -> Outcome {
    Outcome::Refused {
        kind: kind.to_owned(),
        ran: "unknown".to_owned(),
    }
}

//! Fake of an upstream server: slots, a short queue, execution times.

use {
    crate::{clock::Clock, load::Weakness, service::Service},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// A server that refused a call for load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shed;

/// One upstream server.
pub(crate) struct Server {
    slots: Semaphore,
    waiting: Cell<usize>,
    queue_limit: usize,
    mean: Duration,
    hop: Duration,
    random: RefCell<StdRng>,
    clock: Clock,
    pub(crate) calls: Cell<u64>,
    pub(crate) first_calls: Cell<u64>,
    pub(crate) sheds: Cell<u64>,
}

struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    pub(crate) fn new(
        service: &Service,
        slow_factor: u32,
        weakness: Weakness,
        seed: u64,
        clock: Clock,
    ) -> Self {
        let slots = service.slots as usize;
        let (slots, queue_limit) = match weakness {
            Weakness::None => (slots, service.queue_limit),
            Weakness::HalfSlots => (slots / 2, service.queue_limit),
            Weakness::NoQueue => (slots / 2, 0),
            Weakness::Shedding => (0, 0),
        };
        Self {
            slots: Semaphore::new(slots),
            waiting: Cell::new(0),
            queue_limit,
            mean: service.mean * slow_factor,
            hop: service.hop,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            clock,
            calls: Cell::new(0),
            first_calls: Cell::new(0),
            sheds: Cell::new(0),
        }
    }

    /// Executes one call, with the way there and back.
    pub(crate) async fn call(&self, is_first: bool) -> Result<(), Shed> {
        self.calls.set(self.calls.get() + 1);
        self.first_calls
            .set(self.first_calls.get() + u64::from(is_first));
        self.clock.sleep(self.hop).await;
        let result = self.execute().await;
        self.clock.sleep(self.hop).await;
        result
    }

    async fn execute(&self) -> Result<(), Shed> {
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.queue_limit {
            self.sheds.set(self.sheds.get() + 1);
            return Err(Shed);
        }
        self.waiting.set(self.waiting.get() + 1);
        let waiting = Waiting(&self.waiting);
        let Ok(_slot) = self.slots.acquire().await else {
            return Err(Shed);
        };
        drop(waiting);
        let time = self.execution_time();
        self.clock.sleep(time).await;
        Ok(())
    }

    fn execution_time(&self) -> Duration {
        let uniform: f64 = self.random.borrow_mut().random_range(f64::EPSILON..1.0);
        self.mean.mul_f64(-uniform.ln())
    }
}

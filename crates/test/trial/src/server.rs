//! Fake upstream server with execution slots, a bounded queue and random execution times.

use {
    crate::{clock::Clock, load::ServerFault, service::Service},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// Error of a call that the server refused because of load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shed;

/// An upstream server.
pub(crate) struct Server {
    slots: Semaphore,
    waiting: Cell<usize>,
    queue_limit: usize,
    mean_execution_time: Duration,
    hop: Duration,
    random: RefCell<StdRng>,
    clock: Clock,
    pub(crate) calls: Cell<u64>,
    pub(crate) first_calls: Cell<u64>,
    pub(crate) sheds: Cell<u64>,
}

/// Counts a waiting call until dropped.
struct WaitGuard<'a>(&'a Cell<usize>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    pub(crate) fn new(
        service: &Service,
        slow_factor: u32,
        server_fault: ServerFault,
        seed: u64,
        clock: Clock,
    ) -> Self {
        let slots = service.slots as usize;
        let (slots, queue_limit) = match server_fault {
            ServerFault::None => (slots, service.queue_limit),
            ServerFault::HalfSlots => (slots / 2, service.queue_limit),
            ServerFault::NoQueue => (slots / 2, 0),
            ServerFault::Shedding => (0, 0),
        };
        Self {
            slots: Semaphore::new(slots),
            waiting: Cell::new(0),
            queue_limit,
            mean_execution_time: service.mean_execution_time * slow_factor,
            hop: service.hop,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            clock,
            calls: Cell::new(0),
            first_calls: Cell::new(0),
            sheds: Cell::new(0),
        }
    }

    /// Executes a call, including the network delay both ways.
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
        let wait_guard = WaitGuard(&self.waiting);
        let Ok(_slot) = self.slots.acquire().await else {
            return Err(Shed);
        };
        drop(wait_guard);
        let execution_time = self.execution_time();
        self.clock.sleep(execution_time).await;
        Ok(())
    }

    fn execution_time(&self) -> Duration {
        let uniform: f64 = self.random.borrow_mut().random_range(f64::EPSILON..1.0);
        self.mean_execution_time.mul_f64(-uniform.ln())
    }
}

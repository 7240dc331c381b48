//! Connection pool of one relay for one server.

use {
    crate::{clock::Clock, server::Server},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::sync::{Semaphore, SemaphorePermit},
};

/// Connections to one server, opened on demand.
pub(crate) struct Pool {
    pub(crate) server: Rc<Server>,
    permits: Semaphore,
    idle: Cell<usize>,
    connect_time: Duration,
    clock: Clock,
}

/// A connection in use, returned to the pool on drop.
pub(crate) struct Connection<'a> {
    pool: &'a Pool,
    _permit: Option<SemaphorePermit<'a>>,
}

impl Pool {
    pub(crate) fn new(
        server: Rc<Server>,
        limit: usize,
        connect_time: Duration,
        clock: Clock,
    ) -> Self {
        Self {
            server,
            permits: Semaphore::new(limit.max(1)),
            idle: Cell::new(0),
            connect_time,
            clock,
        }
    }

    pub(crate) async fn checkout(&self) -> Connection<'_> {
        let permit = self.permits.acquire().await.ok();
        if self.idle.get() > 0 {
            self.idle.set(self.idle.get() - 1);
        } else {
            self.clock.sleep(self.connect_time).await;
        }
        Connection {
            pool: self,
            _permit: permit,
        }
    }
}

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        self.pool.idle.set(self.pool.idle.get() + 1);
    }
}

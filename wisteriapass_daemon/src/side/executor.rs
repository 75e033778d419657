//! Execution of runs, each on its own thread.

use crate::prelude::*;
use crate::run_wire::{Finish, RunRequest};
use crate::shutdown::Shutdown;
use crate::side::engine::EngineRun;
use crate::side::{Run, SideIdentity, SideMoney, service_call};

/// Stack size of an executor thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

/// Executes runs at the target.
pub struct Executor {
    side: Arc<SideIdentity>,
    metrics: Arc<Metrics>,
    money: Arc<SideMoney>,
    shutdown: Arc<Shutdown>,
}

impl Service for Executor {
    const NAME: &'static str = "executor";
}

impl Executor {
    /// Creates the executor.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            metrics: kernel.find()?,
            money: kernel.find()?,
            shutdown: kernel.find()?,
        })
    }

    /// Starts a run on a new thread; the run fails if there is no thread.
    pub fn start(&self, run: Arc<Run>) {
        let (side, metrics) = (self.side.clone(), self.metrics.clone());
        let money = self.money.clone();
        let work = {
            let run = run.clone();
            // A graceful shutdown waits for the run even if no router is attached to it.
            let work_guard = self.shutdown.begin_work();
            move || {
                execute(&run, &side, &metrics);
                money.record_end(&run.dispatch().run, run.bill());
                drop(work_guard);
            }
        };
        let builder = std::thread::Builder::new()
            .name("run".into())
            .stack_size(STACK_SIZE);
        if builder.spawn(work).is_err() {
            run.end(&self.side.name, Finish::Failed, 0, 0);
            self.money.record_end(&run.dispatch().run, None);
        }
    }
}

fn execute(run: &Arc<Run>, side: &SideIdentity, metrics: &Metrics) {
    match &run.dispatch().request {
        RunRequest::Chat(chat) => EngineRun::new(run, chat, side, metrics).execute(),
        RunRequest::Call(call) => service_call::execute(run, call, side),
    }
    if let Some(bill) = run.bill() {
        metrics.count_billed_tokens(bill.amount);
    }
}

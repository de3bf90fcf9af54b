//! The task that runs one shard: passes commands and call results to the state machine, and makes
//! its platform calls.

use crate::{
    claim::{ClaimId, KeyDigest},
    events::{Action, CallResult, ClaimReply, Input, Reply, Time, WaitReply, WaiterId},
    settings::ClaimSettings,
    shard_client::ShardClient,
    state_machine::ShardStateMachine,
    ticket::{Grant, Ticket},
};
use futures::{FutureExt, future::BoxFuture};
use skylarkpick_interface::Clock;
use skylarkpick_protocol::stored::{Claimed, Outcome};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime},
};
use tokio::sync::{mpsc, oneshot};

/// Longest sleep of an idle shard.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// A request of the process to a shard, with the channel for the reply.
#[derive(Debug)]
pub(crate) enum Command {
    Claim { claim_id: ClaimId, key: KeyDigest, claimed: Claimed, reply: oneshot::Sender<Decision> },
    Abandon { claim_id: ClaimId, key: KeyDigest },
    Finish { claim_id: ClaimId, key: KeyDigest, outcome: Outcome, appended: oneshot::Sender<()> },
    Wait { waiter: WaiterId, key: KeyDigest, reply: oneshot::Sender<WaitReply> },
    StopWaiting { waiter: WaiterId },
}

/// Decision of a shard about a claim.
#[derive(Debug)]
pub(crate) enum Decision {
    Granted(Ticket),
    NotGranted(ClaimReply),
}

/// Owns a shard's state machine and does its I/O.
pub(crate) struct Driver {
    state_machine: ShardStateMachine,
    client: ShardClient,
    clock: Arc<dyn Clock>,
    settings: ClaimSettings,
    commands: mpsc::WeakUnboundedSender<Command>,
    claims: HashMap<ClaimId, (KeyDigest, oneshot::Sender<Decision>)>,
    waiters: HashMap<WaiterId, oneshot::Sender<WaitReply>>,
    appended: HashMap<ClaimId, oneshot::Sender<()>>,
    in_flight: Option<BoxFuture<'static, CallResult>>,
}

impl Driver {
    pub(crate) fn open(
        settings: &ClaimSettings,
        client: ShardClient,
        clock: Arc<dyn Clock>,
        commands: mpsc::WeakUnboundedSender<Command>,
    ) -> Driver {
        Driver {
            state_machine: ShardStateMachine::open(settings.clone()),
            client,
            clock,
            settings: settings.clone(),
            commands,
            claims: HashMap::new(),
            waiters: HashMap::new(),
            appended: HashMap::new(),
            in_flight: None,
        }
    }

    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        loop {
            let now = self.now();
            let next = self.state_machine.next_action(now);
            self.deliver();
            let wake = match next {
                Action::Call(call) => {
                    self.in_flight = Some(self.client.clone().execute(call).boxed());
                    continue;
                }
                Action::Wait(wake) => wake,
            };
            let pause = wake.map_or(IDLE_WAIT, |at| at.saturating_sub(now.since_boot));
            let is_calling = self.in_flight.is_some();
            tokio::select! {
                result = call_result(&mut self.in_flight), if is_calling => {
                    self.in_flight = None;
                    let now = self.now();
                    self.state_machine.complete_call(result, now);
                }
                command = receiver.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = tokio::time::sleep(pause) => {}
            }
            while let Ok(command) = receiver.try_recv() {
                self.handle(command);
            }
            self.deliver();
        }
    }

    fn now(&self) -> Time {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let wall_ms = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        Time { since_boot: self.clock.since_boot(), wall_ms }
    }

    fn handle(&mut self, command: Command) {
        let input = match command {
            Command::Claim { claim_id, key, claimed, reply } => {
                self.claims.insert(claim_id, (key, reply));
                Input::Claim { claim_id, key, claimed }
            }
            Command::Abandon { claim_id, key } => Input::Abandon { claim_id, key },
            Command::Finish { claim_id, key, outcome, appended } => {
                self.appended.insert(claim_id, appended);
                Input::Finish { claim_id, key, outcome }
            }
            Command::Wait { waiter, key, reply } => {
                self.waiters.insert(waiter, reply);
                Input::Wait { waiter, key }
            }
            Command::StopWaiting { waiter } => {
                self.waiters.remove(&waiter);
                Input::StopWaiting { waiter }
            }
        };
        let now = self.now();
        self.state_machine.handle(input, now);
    }

    fn deliver(&mut self) {
        for reply in self.state_machine.take_replies() {
            match reply {
                Reply::Claim(claim_id, reply) => self.deliver_claim(claim_id, reply),
                Reply::Wait(waiter, reply) => {
                    if let Some(sender) = self.waiters.remove(&waiter) {
                        // An error means that nobody waits any more.
                        let _ = sender.send(reply);
                    }
                }
                Reply::Appended(claim_id) => {
                    if let Some(sender) = self.appended.remove(&claim_id) {
                        // An error means that nobody waits any more.
                        let _ = sender.send(());
                    }
                }
            }
        }
    }

    fn deliver_claim(&mut self, claim_id: ClaimId, reply: ClaimReply) {
        let Some((key, sender)) = self.claims.remove(&claim_id) else { return };
        let decision = match (reply, self.commands.upgrade()) {
            (ClaimReply::Granted, Some(shard)) => {
                let body_size_bytes = self.settings.body_size_bytes;
                let clock = self.clock.clone();
                let usable_until = clock.since_boot() + self.settings.ticket_timeout();
                let grant = Grant { claim_id, key, body_size_bytes, clock, usable_until, shard };
                Decision::Granted(Ticket::new(grant))
            }
            (ClaimReply::Granted, None) => return,
            (other, _) => Decision::NotGranted(other),
        };
        // If the claimant no longer waits, the decision is dropped, and dropping its ticket
        // abandons the claim.
        let _ = sender.send(decision);
    }
}

async fn call_result(in_flight: &mut Option<BoxFuture<'static, CallResult>>) -> CallResult {
    match in_flight {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}

//! Tests that control calls keep to pauses.

use crate::{pauses::PausingControl, test_support::empty_node_state};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEpoch, CacheScope, ControlError, EngineLoad, OrderOutcome, OrderState, PartChanges,
    PartId, SignalObserver, TargetControl, TargetSignals, WeightOrder,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

const PAUSE: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_millis(100);

/// Targets that turn every call away and ask for a pause.
#[derive(Default)]
struct RejectingControl {
    observer: OnceLock<Arc<dyn SignalObserver>>,
    calls: AtomicUsize,
}

impl RejectingControl {
    fn reject<T>(&self, address: SocketAddr) -> Result<T, ControlError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let signals = TargetSignals { pause: Some(PAUSE), ..TargetSignals::default() };
        self.observer.get().unwrap().observe_signals(address, &signals);
        Err(ControlError::Unreadable("status 503".to_string()))
    }
}

#[async_trait]
impl TargetControl for RejectingControl {
    fn set_signal_observer(&self, observer: Arc<dyn SignalObserver>) {
        assert!(self.observer.set(observer).is_ok());
    }

    async fn order_state(
        &self,
        address: SocketAddr,
        _: Duration,
    ) -> Result<OrderState, ControlError> {
        self.reject(address)
    }

    async fn engine_load(
        &self,
        address: SocketAddr,
        _: Duration,
    ) -> Result<EngineLoad, ControlError> {
        self.reject(address)
    }

    async fn order(&self, order: &WeightOrder, _: Duration) -> Result<OrderOutcome, ControlError> {
        self.reject(order.address)
    }

    async fn part_changes(
        &self,
        address: SocketAddr,
        _: u64,
        _: Duration,
    ) -> Result<PartChanges, ControlError> {
        self.reject(address)
    }

    async fn part_listing(&self, address: SocketAddr) -> Result<PartChanges, ControlError> {
        self.reject(address)
    }

    async fn free_parts(
        &self,
        address: SocketAddr,
        _: CacheEpoch,
        _: &[(CacheScope, PartId)],
    ) -> Result<bool, ControlError> {
        self.reject(address)
    }
}

#[derive(Clone, Copy, Debug)]
enum Call {
    State,
    Load,
    Order,
    Changes,
    Listing,
    Free,
}

impl Call {
    /// Makes the call and returns the rest of the pause for which it failed.
    async fn rest(self, control: &PausingControl, address: SocketAddr) -> Option<Duration> {
        let error = match self {
            Call::State => control.order_state(address, TIMEOUT).await.err(),
            Call::Load => control.engine_load(address, TIMEOUT).await.err(),
            Call::Order => control.order(&order(address), TIMEOUT).await.err(),
            Call::Changes => control.part_changes(address, 1, TIMEOUT).await.err(),
            Call::Listing => control.part_listing(address).await.err(),
            Call::Free => control.free_parts(address, 1, &[]).await.err(),
        };
        match error {
            Some(ControlError::Paused(rest)) => Some(rest),
            _ => None,
        }
    }
}

fn order(address: SocketAddr) -> WeightOrder {
    WeightOrder {
        target: "i-1".to_string(),
        address,
        started_at_ms: 1,
        model: "tala".to_string(),
        weight_version: 2,
        holder: "entry-1".to_string(),
        fencing_number: 1,
        orders_accepted: 0,
    }
}

#[tokio::test(start_paused = true)]
async fn a_target_that_turned_a_call_away_gets_no_call_of_any_kind_until_its_pause_ends() {
    let calls = [Call::State, Call::Load, Call::Order, Call::Changes, Call::Listing, Call::Free];
    for first in calls {
        let rejecting = Arc::new(RejectingControl::default());
        let control = PausingControl::open(rejecting.clone(), empty_node_state());
        let address = SocketAddr::from(([10, 1, 0, 1], 80));
        let other = SocketAddr::from(([10, 1, 0, 2], 80));
        assert_eq!(first.rest(&control, address).await, Some(PAUSE), "{first:?}");
        tokio::time::advance(PAUSE / 3).await;
        for next in calls {
            assert_eq!(next.rest(&control, address).await, Some(PAUSE * 2 / 3), "{next:?}");
        }
        let count = || rejecting.calls.load(Ordering::SeqCst);
        assert_eq!(count(), 1, "{first:?}: during the pause");
        first.rest(&control, other).await;
        assert_eq!(count(), 2, "{first:?}: another target");
        tokio::time::advance(PAUSE * 2 / 3).await;
        first.rest(&control, address).await;
        assert_eq!(count(), 3, "{first:?}: after the pause");
    }
}

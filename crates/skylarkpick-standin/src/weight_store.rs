//! A simulated weight store, which slows down when many runners load from it concurrently.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// A simulated weight store, from which all runners load.
pub struct WeightStore {
    load_time: Duration,
    full_speed_loads: u32,
    concurrent_loads: AtomicU32,
    peak_loads: AtomicU32,
}

/// Counts a load as concurrent until it is dropped.
struct Loading<'a>(&'a WeightStore);

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.concurrent_loads.fetch_sub(1, Ordering::SeqCst);
    }
}

impl WeightStore {
    /// Opens a store whose loads take `load_time` while at most `full_speed_loads` run concurrently.
    pub fn open(load_time: Duration, full_speed_loads: u32) -> Arc<WeightStore> {
        let (concurrent_loads, peak_loads) = (AtomicU32::new(0), AtomicU32::new(0));
        Arc::new(WeightStore { load_time, full_speed_loads, concurrent_loads, peak_loads })
    }

    /// Simulates a load of weights. Above `full_speed_loads`, it takes longer by the square of the
    /// ratio of concurrent loads to `full_speed_loads`.
    pub async fn load(&self) {
        let loads = self.concurrent_loads.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_loads.fetch_max(loads, Ordering::SeqCst);
        let _loading = Loading(self);
        let overload = (f64::from(loads) / f64::from(self.full_speed_loads)).max(1.0);
        tokio::time::sleep(self.load_time.mul_f64(overload * overload)).await;
    }

    /// Returns the highest number of loads that ever ran concurrently.
    pub fn peak_concurrent_loads(&self) -> u32 {
        self.peak_loads.load(Ordering::SeqCst)
    }
}

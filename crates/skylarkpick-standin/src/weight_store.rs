//! The weight store that all runners load from, slower when many load at once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// The weight store that all runners load from.
pub struct WeightStore {
    load_time: Duration,
    loads_knee: u32,
    loads: AtomicU32,
    loads_peak: AtomicU32,
}

struct Loading<'a>(&'a WeightStore);

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.loads.fetch_sub(1, Ordering::SeqCst);
    }
}

impl WeightStore {
    /// Opens a store whose loads take `load_time` while at most `loads_knee` go on at once.
    pub fn open(load_time: Duration, loads_knee: u32) -> Arc<WeightStore> {
        let (loads, loads_peak) = (AtomicU32::new(0), AtomicU32::new(0));
        Arc::new(WeightStore { load_time, loads_knee, loads, loads_peak })
    }

    /// Loads weights once; over the knee the time grows with the square of the crowd.
    pub async fn load(&self) {
        let loads = self.loads.fetch_add(1, Ordering::SeqCst) + 1;
        self.loads_peak.fetch_max(loads, Ordering::SeqCst);
        let _loading = Loading(self);
        let crowd = (f64::from(loads) / f64::from(self.loads_knee)).max(1.0);
        tokio::time::sleep(self.load_time.mul_f64(crowd * crowd)).await;
    }

    /// Most loads that ever went on at once.
    pub fn peak_concurrent_loads(&self) -> u32 {
        self.loads_peak.load(Ordering::SeqCst)
    }
}

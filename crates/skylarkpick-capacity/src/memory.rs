//! Resident memory of this process.

/// Page size assumed for `/proc/self/statm`.
const PAGE_SIZE_BYTES: f64 = 4_096.0;

/// Returns the resident memory in bytes, or 0 if `/proc` is unavailable.
pub(crate) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_SIZE_BYTES
}

/// Returns the mean memory of a value, from the growth of resident memory while `count` values are
/// created.
///
/// The values are leaked: the next measurement would reuse freed memory and underestimate its
/// growth.
pub(crate) fn mean_bytes<T>(count: usize, mut make: impl FnMut(usize) -> T) -> f64 {
    let before = resident_bytes();
    let held: Vec<T> = (0..count).map(&mut make).collect();
    let grown = resident_bytes() - before;
    std::mem::forget(held);
    grown.max(0.0) / count as f64
}

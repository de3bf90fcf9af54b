//! Memory of this process, as the system counts it.

/// Bytes in a page of `/proc/self/statm`.
const PAGE_SIZE_BYTES: f64 = 4_096.0;

/// Resident memory in bytes; 0 where the system does not tell.
pub(crate) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_SIZE_BYTES
}

/// Bytes that one thing takes, by how resident memory grows when `count` of them are held.
///
/// They are held to the end of the process: memory that was given back would be used again
/// by the next measurement and hide its growth.
pub(crate) fn bytes_each<T>(count: usize, mut make: impl FnMut(usize) -> T) -> f64 {
    let before = resident_bytes();
    let held: Vec<T> = (0..count).map(&mut make).collect();
    let grown = resident_bytes() - before;
    std::mem::forget(held);
    grown.max(0.0) / count as f64
}

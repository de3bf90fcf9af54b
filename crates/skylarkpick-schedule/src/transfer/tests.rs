//! Tests of the order and the pacing of transfers.

use super::*;

fn transfer(id: TransferId, kind: TransferKind, size_bytes: u64, waiters: u32) -> Transfer {
    Transfer { id, kind, size_bytes, waiters }
}

#[test]
fn starts_imports_before_exports_and_in_the_configured_order() {
    struct Case {
        name: &'static str,
        ordering: ImportOrdering,
        transfers: Vec<Transfer>,
        order: Vec<TransferId>,
    }
    let imports = vec![
        transfer(1, TransferKind::Import, 100, 1),
        transfer(2, TransferKind::Import, 100, 3),
        transfer(3, TransferKind::Import, 10, 1),
    ];
    let cases = [
        Case {
            name: "imports before exports",
            ordering: ImportOrdering::Arrival,
            transfers: vec![
                transfer(1, TransferKind::Export, 1, 0),
                transfer(2, TransferKind::Import, 1, 1),
            ],
            order: vec![2, 1],
        },
        Case {
            name: "by arrival",
            ordering: ImportOrdering::Arrival,
            transfers: imports.clone(),
            order: vec![1, 2, 3],
        },
        Case {
            name: "by waiters per byte",
            ordering: ImportOrdering::Waiters,
            transfers: imports,
            order: vec![3, 2, 1],
        },
    ];
    for case in cases {
        let mut queue = TransferQueue::open(1_000.0, case.ordering);
        case.transfers.iter().for_each(|transfer| queue.add(*transfer));
        let mut now = Instant::now();
        let mut order = Vec::new();
        loop {
            match queue.next(now) {
                NextTransfer::Begin(begun) => {
                    order.push(begun.id);
                    queue.finish();
                }
                NextTransfer::WaitUntil(later) => now = later,
                NextTransfer::Nothing => break,
            }
        }
        assert_eq!(order, case.order, "{}", case.name);
    }
}

#[test]
fn delays_the_next_transfer_until_the_budget_allows_it() {
    let now = Instant::now();
    let mut queue = TransferQueue::open(100.0, ImportOrdering::Arrival);
    queue.add(transfer(1, TransferKind::Import, 200, 1));
    queue.add(transfer(2, TransferKind::Import, 200, 1));
    assert!(matches!(queue.next(now), NextTransfer::Begin(_)));
    assert_eq!(queue.next(now), NextTransfer::Nothing);
    queue.finish();
    assert_eq!(queue.next(now), NextTransfer::WaitUntil(now + Duration::from_secs(2)));
}

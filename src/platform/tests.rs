//! Tests of the in-memory key-value service.

use super::memory::{Fault, MemoryKv};
use super::*;
use crate::fixtures::run_paused;

// Guards against a lost answer that also loses the write.
#[test]
fn a_write_whose_answer_is_lost_has_taken_effect() {
    run_paused(async {
        let kv = MemoryKv::open();
        kv.set_fault(Fault::LoseNextWrite);

        let outcome = kv.txn(vec![], vec![Change::put("a", "1")]).await;

        assert!(outcome.is_err_and(|error| error.may_have_applied()));
        let entry = kv.get("a").await.expect("the service is back");
        assert_eq!(entry.map(|e| e.value), Some(Bytes::from_static(b"1")));
    });
}

// Guards against a lease that outlives its time and against keys that outlive their lease.
#[test]
fn keys_end_with_their_lease() {
    run_paused(async {
        let kv = MemoryKv::open();
        let lease = kv
            .grant(Millis::from_secs(5))
            .await
            .expect("the service is up");
        let put = Change::Put {
            key: "a".into(),
            value: "1".into(),
            lease: Some(lease),
        };
        kv.txn(vec![], vec![put]).await.expect("the service is up");

        actix_rt::time::sleep(Millis::from_secs(6).duration()).await;

        assert_eq!(kv.get("a").await, Ok(None));
        assert_eq!(kv.keep_alive(lease).await, Err(KvError::LeaseGone));
    });
}

//! The view of an instance of the plain service from a process.

use super::Link;
use async_trait::async_trait;
use skylarkpick_interface::{PlainService, ServiceCall, ServiceError, ServiceReply};
use std::sync::Arc;

pub(super) struct ServiceView {
    pub(super) link: Link,
    pub(super) service: Arc<dyn PlainService>,
}

#[async_trait]
impl PlainService for ServiceView {
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        // Spawned, so that a call that was sent continues even if its sender dies.
        let service = self.service.clone();
        let sent = async move {
            let task = tokio::spawn(async move { service.call(call).await });
            task.await.unwrap_or_else(|error| Err(ServiceError::Unknown(error.to_string())))
        };
        match self.link.call(sent).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ServiceError::Unknown("the network was partitioned".to_string())),
            Err(_) => Err(ServiceError::NotReached("the network is partitioned".to_string())),
        }
    }
}

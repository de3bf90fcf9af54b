//! A plain service as one process sees it.

use super::Way;
use async_trait::async_trait;
use skylarkpick_interface::{PlainService, ServiceCall, ServiceError, ServiceReply};
use std::sync::Arc;

pub(super) struct ServiceView {
    pub(super) way: Way,
    pub(super) service: Arc<dyn PlainService>,
}

#[async_trait]
impl PlainService for ServiceView {
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        // A call that was sent goes on at the service even when its sender dies.
        let service = self.service.clone();
        let sent = async move {
            let task = tokio::spawn(async move { service.call(call).await });
            task.await.unwrap_or_else(|error| Err(ServiceError::Unknown(error.to_string())))
        };
        match self.way.call(sent).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ServiceError::Unknown("the way was cut".to_string())),
            Err(_) => Err(ServiceError::NotReached("the way is cut".to_string())),
        }
    }
}

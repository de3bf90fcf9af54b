//! The view of a runner from a process.

use super::{Link, Partitioned};
use async_trait::async_trait;
use futures::StreamExt;
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, ImportOrder, ImportReceipt,
    LoadReport, Order, OrderError, RunRequest, Runner, RunnerStatus, StartError, TransferError,
};
use std::sync::Arc;

pub(super) struct RunnerView {
    pub(super) link: Link,
    pub(super) runner: Arc<dyn Runner>,
}

impl RunnerView {
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StartError>>,
    ) -> Result<T, StartError> {
        match self.link.call(call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Partitioned)) => {
                Err(StartError::Broken("the network was partitioned".to_string()))
            }
            Err(Partitioned) => {
                Err(StartError::NotReached("the network is partitioned".to_string()))
            }
        }
    }

    async fn transfer<T>(
        &self,
        call: impl Future<Output = Result<T, TransferError>>,
    ) -> Result<T, TransferError> {
        match self.link.call(call).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(TransferError::Failed("the network is partitioned".to_string())),
        }
    }

    /// Forwards frames until the link is partitioned.
    fn frames(&self, frames: FrameStream) -> FrameStream {
        let link = self.link.clone();
        futures::stream::unfold(Some(frames), move |frames| {
            let link = link.clone();
            async move {
                let mut frames = frames?;
                match link.call(frames.next()).await {
                    Ok(Ok(Some(frame))) => Some((frame, Some(frames))),
                    Ok(Ok(None)) => None,
                    _ => Some((
                        Err(StartError::Broken("the network was partitioned".to_string())),
                        None,
                    )),
                }
            }
        })
        .boxed()
    }
}

#[async_trait]
impl Runner for RunnerView {
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
        let frames = self.call(self.runner.start(request)).await?;
        Ok(self.frames(frames))
    }

    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError> {
        let frames = self.call(self.runner.resume(run_id, account, offset)).await?;
        Ok(self.frames(frames))
    }

    async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
        self.call(self.runner.cancel(run_id)).await
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        self.call(self.runner.load()).await
    }

    async fn cache_events(
        &self,
        after: u64,
        snapshot: bool,
    ) -> Result<CacheEventBatch, StartError> {
        self.call(self.runner.cache_events(after, snapshot)).await
    }

    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
        self.transfer(self.runner.import(order)).await
    }

    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
        self.transfer(self.runner.export(order)).await
    }

    async fn order(&self, order: Order) -> Result<(), OrderError> {
        // Spawned, so that an order that was sent is carried out even if its sender dies.
        let runner = self.runner.clone();
        let sent = async move {
            let task = tokio::spawn(async move { runner.order(order).await });
            task.await.unwrap_or_else(|error| Err(OrderError::Unknown(error.to_string())))
        };
        match self.link.call(sent).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Partitioned)) => {
                Err(OrderError::Unknown("the network was partitioned".to_string()))
            }
            Err(Partitioned) => Err(OrderError::Refused("the network is partitioned".to_string())),
        }
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.call(self.runner.status()).await
    }
}

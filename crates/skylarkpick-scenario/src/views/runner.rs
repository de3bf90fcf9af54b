//! A runner as one process sees it.

use super::{Cut, Way};
use async_trait::async_trait;
use futures::StreamExt;
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, ImportOrder, ImportReceipt,
    LoadReport, Order, OrderError, RunRequest, Runner, RunnerStatus, StartError, TransferError,
};
use std::sync::Arc;

pub(super) struct RunnerView {
    pub(super) way: Way,
    pub(super) runner: Arc<dyn Runner>,
}

impl RunnerView {
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StartError>>,
    ) -> Result<T, StartError> {
        match self.way.call(call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Cut)) => Err(StartError::Broken("the way was cut".to_string())),
            Err(Cut) => Err(StartError::NotReached("the way is cut".to_string())),
        }
    }

    async fn transfer<T>(
        &self,
        call: impl Future<Output = Result<T, TransferError>>,
    ) -> Result<T, TransferError> {
        match self.way.call(call).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(TransferError::Failed("the way is cut".to_string())),
        }
    }

    /// Passes frames on as long as the way is open.
    fn frames(&self, frames: FrameStream) -> FrameStream {
        let way = self.way.clone();
        futures::stream::unfold(Some(frames), move |frames| {
            let way = way.clone();
            async move {
                let mut frames = frames?;
                match way.call(frames.next()).await {
                    Ok(Ok(Some(frame))) => Some((frame, Some(frames))),
                    Ok(Ok(None)) => None,
                    _ => Some((Err(StartError::Broken("the way was cut".to_string())), None)),
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
        // An order that was sent is carried out even when its sender dies.
        let runner = self.runner.clone();
        let sent = async move {
            let task = tokio::spawn(async move { runner.order(order).await });
            task.await.unwrap_or_else(|error| Err(OrderError::Unknown(error.to_string())))
        };
        match self.way.call(sent).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Cut)) => Err(OrderError::Unknown("the way was cut".to_string())),
            Err(Cut) => Err(OrderError::Refused("the way is cut".to_string())),
        }
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.call(self.runner.status()).await
    }
}

//! The certificate of this process, replaced before it ends without touching connections.

use crate::{
    authority::{Authority, PeerIdentity},
    error::TransportError,
};
use rustls::{
    SignatureScheme,
    client::ResolvesClientCert,
    crypto::ring,
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use std::{
    fmt::{Debug, Formatter},
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, SystemTime},
};

/// How long certificates are valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CertificateTiming {
    /// Time from the issue to the end.
    pub lifetime: Duration,
    /// Time between two renewals; well under the lifetime.
    pub renewal_interval: Duration,
    /// Time before the issue from which a certificate is valid, for clocks that differ.
    pub clock_skew: Duration,
}

impl Default for CertificateTiming {
    fn default() -> CertificateTiming {
        CertificateTiming {
            lifetime: Duration::from_secs(12 * 3_600),
            renewal_interval: Duration::from_secs(4 * 3_600),
            clock_skew: Duration::from_secs(600),
        }
    }
}

/// The certificate that this process shows now. `Debug` shows no key.
pub(crate) struct Certificates {
    authority: Authority,
    identity: PeerIdentity,
    rules: CertificateTiming,
    current: RwLock<Arc<CertifiedKey>>,
}

impl Certificates {
    /// Issues the first certificate.
    pub(crate) fn open(
        authority: Authority,
        identity: PeerIdentity,
        rules: CertificateTiming,
        now: SystemTime,
    ) -> Result<Arc<Certificates>, TransportError> {
        let first = issue(&authority, &identity, rules, now)?;
        let current = RwLock::new(Arc::new(first));
        Ok(Arc::new(Certificates { authority, identity, rules, current }))
    }

    /// Issues a new certificate, which connections from now on are made with.
    pub(crate) fn renew(&self, now: SystemTime) -> Result<(), TransportError> {
        let renewed = issue(&self.authority, &self.identity, self.rules, now)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(renewed);
        Ok(())
    }

    /// Renews for as long as the task runs.
    pub(crate) async fn renew_always(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.rules.renewal_interval).await;
            if let Err(error) = self.renew(SystemTime::now()) {
                spdlog::error!("the certificate was not renewed", kv: { error: });
            }
        }
    }

    pub(crate) fn authority(&self) -> &Authority {
        &self.authority
    }

    pub(crate) fn current(&self) -> Arc<CertifiedKey> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn issue(
    authority: &Authority,
    identity: &PeerIdentity,
    rules: CertificateTiming,
    now: SystemTime,
) -> Result<CertifiedKey, TransportError> {
    let from = now.checked_sub(rules.clock_skew).unwrap_or(now);
    let issued = authority.issue(identity, from, rules.lifetime + rules.clock_skew)?;
    let key = ring::sign::any_supported_type(&issued.key)
        .map_err(|error| TransportError::Issue(error.to_string()))?;
    Ok(CertifiedKey::new(vec![issued.certificate], key))
}

impl Debug for Certificates {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "Certificates({:?})", self.identity)
    }
}

impl ResolvesServerCert for Certificates {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}

impl ResolvesClientCert for Certificates {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

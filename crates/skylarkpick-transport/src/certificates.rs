//! The certificate of this process. Renewal replaces it before it expires and leaves established
//! connections open.

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

/// Lifetime and renewal interval of certificates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CertificateTiming {
    /// Time from issue to expiry.
    pub lifetime: Duration,
    /// Time between renewals; well below the lifetime.
    pub renewal_interval: Duration,
    /// How far the start of the validity is backdated, for peers whose clocks are behind.
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

/// Holds the current certificate of this process and resolves it for TLS handshakes. Its `Debug`
/// output contains no key material.
pub(crate) struct Certificates {
    authority: Authority,
    identity: PeerIdentity,
    timing: CertificateTiming,
    current: RwLock<Arc<CertifiedKey>>,
}

impl Certificates {
    /// Issues the first certificate.
    pub(crate) fn open(
        authority: Authority,
        identity: PeerIdentity,
        timing: CertificateTiming,
        now: SystemTime,
    ) -> Result<Arc<Certificates>, TransportError> {
        let first = issue(&authority, &identity, timing, now)?;
        let current = RwLock::new(Arc::new(first));
        Ok(Arc::new(Certificates { authority, identity, timing, current }))
    }

    /// Issues a new certificate, which later handshakes use.
    pub(crate) fn renew(&self, now: SystemTime) -> Result<(), TransportError> {
        let renewed = issue(&self.authority, &self.identity, self.timing, now)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(renewed);
        Ok(())
    }

    /// Renews the certificate periodically until the task is aborted.
    pub(crate) async fn run_renewal(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.timing.renewal_interval).await;
            if let Err(error) = self.renew(SystemTime::now()) {
                spdlog::error!("failed to renew the certificate", kv: { error: });
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
    timing: CertificateTiming,
    now: SystemTime,
) -> Result<CertifiedKey, TransportError> {
    let from = now.checked_sub(timing.clock_skew).unwrap_or(now);
    let issued = authority.issue(identity, from, timing.lifetime + timing.clock_skew)?;
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

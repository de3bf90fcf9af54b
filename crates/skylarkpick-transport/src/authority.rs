//! The fleet's certificate authority, from which each process issues its own certificate.

use crate::error::TransportError;
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose, PublicKeyData,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, pem::PemObject};
use skylarkpick_interface::{DataCentreId, EntryId};
use std::{
    fmt::{Debug, Formatter},
    time::{Duration, SystemTime},
};
use x509_parser::prelude::{FromDer, X509Certificate};

/// DNS name in every certificate of the fleet. Certificates contain no addresses, because these
/// change too often.
pub(crate) const PEER_NAME: &str = "entry.skylarkpick.internal";

/// Identity of a process, as stated in the subject of its certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
}

/// The fleet's certificate authority. Its `Debug` output contains no key material.
pub struct Authority {
    certificate: CertificateDer<'static>,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate with its private key.
pub(crate) struct IssuedCertificate {
    pub(crate) certificate: CertificateDer<'static>,
    pub(crate) key: PrivateKeyDer<'static>,
}

impl Authority {
    /// Loads an authority from its certificate and its private key, both PEM-encoded.
    ///
    /// # Errors
    /// Returns an error if either is invalid or the key does not match the certificate.
    pub fn open(certificate_pem: &[u8], key_pem: &[u8]) -> Result<Authority, TransportError> {
        let certificate = CertificateDer::from_pem_slice(certificate_pem)
            .map_err(|_| TransportError::AuthorityCertificate)?;
        let key = std::str::from_utf8(key_pem)
            .ok()
            .and_then(|pem| KeyPair::from_pem(pem).ok())
            .ok_or(TransportError::AuthorityKey)?;
        let (_, parsed) = X509Certificate::from_der(&certificate)
            .map_err(|_| TransportError::AuthorityCertificate)?;
        if !parsed.is_ca() {
            return Err(TransportError::AuthorityCertificate);
        }
        if parsed.public_key().raw != key.subject_public_key_info() {
            return Err(TransportError::AuthorityMismatch);
        }
        let issuer = Issuer::from_ca_cert_der(&certificate, key)
            .map_err(|_| TransportError::AuthorityCertificate)?;
        Ok(Authority { certificate: certificate.into_owned(), issuer })
    }

    /// Generates a new authority in memory, for tests and demonstrations.
    ///
    /// # Errors
    /// Returns an error if key generation fails.
    ///
    /// ```
    /// let authority = skylarkpick_transport::Authority::generate()?;
    /// assert!(format!("{authority:?}").starts_with("Authority"));
    /// # Ok::<(), skylarkpick_transport::TransportError>(())
    /// ```
    pub fn generate() -> Result<Authority, TransportError> {
        let (certificate, key) = Authority::generate_pem()?;
        Authority::open(certificate.as_bytes(), key.as_bytes())
    }

    /// Generates a new authority and returns its certificate and private key, both PEM-encoded.
    ///
    /// # Errors
    /// Returns an error if key generation fails.
    pub fn generate_pem() -> Result<(String, String), TransportError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut parameters = CertificateParams::default();
        parameters.distinguished_name = DistinguishedName::new();
        parameters.distinguished_name.push(DnType::CommonName, "skylarkpick fleet");
        parameters.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        parameters.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = parameters.self_signed(&key).map_err(issue_error)?;
        Ok((certificate.pem(), key.serialize_pem()))
    }

    pub(crate) fn certificate(&self) -> &CertificateDer<'static> {
        &self.certificate
    }

    /// Issues a certificate with a new key for a process, valid from `from` for `lifetime`.
    pub(crate) fn issue(
        &self,
        identity: &PeerIdentity,
        from: SystemTime,
        lifetime: Duration,
    ) -> Result<IssuedCertificate, TransportError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut parameters =
            CertificateParams::new(vec![PEER_NAME.to_string()]).map_err(issue_error)?;
        parameters.distinguished_name = DistinguishedName::new();
        let name = &mut parameters.distinguished_name;
        name.push(DnType::CommonName, identity.entry_id.as_str());
        name.push(DnType::OrganizationalUnitName, identity.data_centre.as_str());
        let since_epoch = from.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        parameters.not_before = rcgen::date_time_ymd(1970, 1, 1) + since_epoch;
        parameters.not_after = parameters.not_before + lifetime;
        parameters.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        parameters.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        let certificate = parameters.signed_by(&key, &self.issuer).map_err(issue_error)?;
        let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
        Ok(IssuedCertificate { certificate: certificate.der().clone(), key })
    }
}

impl Debug for Authority {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "Authority({} bytes of certificate)", self.certificate.len())
    }
}

impl PeerIdentity {
    /// Returns the identity in the subject of a verified certificate.
    pub(crate) fn read(certificate: &CertificateDer<'_>) -> Option<PeerIdentity> {
        let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
        let subject = parsed.subject();
        let text = |name: Option<&x509_parser::x509::AttributeTypeAndValue<'_>>| {
            name.and_then(|name| name.as_str().ok()).map(str::to_string)
        };
        let entry_id = text(subject.iter_common_name().next())?;
        let data_centre = text(subject.iter_organizational_unit().next())?;
        Some(PeerIdentity { entry_id, data_centre })
    }
}

fn issue_error(error: rcgen::Error) -> TransportError {
    TransportError::Issue(error.to_string())
}

//! The errors of RFC 4271 section 6 and what later documents add to them, each with the code and subcode of the
//! NOTIFICATION that reports it.

use std::error::Error;
use std::fmt;

/// Octets of the offending message that a NOTIFICATION repeats at most.
const MAX_ERROR_DATA: usize = 64;

/// Message Header Error subcodes (RFC 4271 section 6.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The marker is wrong.
    ConnectionNotSynchronized = 1,
    /// The length does not suit the message type.
    BadMessageLength = 2,
    /// The message type is unknown.
    BadMessageType = 3,
}

/// OPEN Message Error subcodes (RFC 4271 section 6.2; RFC 5492 for capabilities, RFC 9234 for roles).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Malformed in a way that has no subcode of its own.
    Unspecific = 0,
    /// Another version than BGP-4.
    UnsupportedVersion = 1,
    /// Another AS number than the configured one, or AS 0 (RFC 7607).
    BadPeerAs = 2,
    /// Zero, another BGP identifier than the configured one, or our own within one AS.
    BadIdentifier = 3,
    /// An optional parameter other than capabilities.
    UnsupportedParameter = 4,
    /// A hold time of 1 or 2 seconds.
    UnacceptableHoldTime = 6,
    /// No address family in common.
    UnsupportedCapability = 7,
    /// The roles of both sides do not match, or the peer sent none where one is required.
    RoleMismatch = 11,
}

/// UPDATE Message Error subcodes (RFC 4271 section 6.3), those that still end a session under RFC 7606.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// Lengths that do not fit the message, or MP_REACH_NLRI or MP_UNREACH_NLRI twice.
    MalformedAttributeList = 1,
    /// An unknown attribute without the OPTIONAL flag.
    UnrecognizedWellKnownAttribute = 2,
    /// Wrong flags of MP_REACH_NLRI or MP_UNREACH_NLRI.
    AttributeFlags = 4,
    /// A malformed MP_REACH_NLRI or MP_UNREACH_NLRI.
    OptionalAttribute = 9,
    /// A prefix that can't be read.
    InvalidNetworkField = 10,
}

/// Finite State Machine Error subcodes (RFC 6608): the state in which an unexpected message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FsmError {
    /// A state without a subcode of its own.
    Unspecified = 0,
    /// In OpenSent.
    OpenSent = 1,
    /// In OpenConfirm.
    OpenConfirm = 2,
    /// In Established.
    Established = 3,
}

/// Cease subcodes (RFC 4486; RFC 8538 for the hard reset).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CeaseSubcode {
    /// The peer sent more prefixes than are accepted.
    MaximumPrefixes = 1,
    /// The operator ends the session.
    AdministrativeShutdown = 2,
    /// The peer is no longer configured.
    PeerDeconfigured = 3,
    /// The operator ends the session, and it may begin again.
    AdministrativeReset = 4,
    /// The connection is not wanted.
    ConnectionRejected = 5,
    /// A change of configuration that needs a new session.
    OtherConfigurationChange = 6,
    /// The other connection to the same peer stays (RFC 4271 section 6.8).
    ConnectionCollisionResolution = 7,
    /// The sender is short of resources.
    OutOfResources = 8,
    /// The session ends for good, and its routes with it (RFC 8538); the true code and subcode stand in the data.
    HardReset = 9,
}

/// What a NOTIFICATION reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Message Header Error.
    Header(HeaderError),
    /// OPEN Message Error.
    Open(OpenError),
    /// UPDATE Message Error.
    Update(UpdateError),
    /// No message for the length of the hold time.
    HoldTimerExpired,
    /// Finite State Machine Error.
    Fsm(FsmError),
    /// The session ends without an error of the peer.
    Cease(CeaseSubcode),
}

impl ErrorKind {
    /// The error code (RFC 4271 section 4.5).
    pub fn code(self) -> u8 {
        match self {
            ErrorKind::Header(_) => 1,
            ErrorKind::Open(_) => 2,
            ErrorKind::Update(_) => 3,
            ErrorKind::HoldTimerExpired => 4,
            ErrorKind::Fsm(_) => 5,
            ErrorKind::Cease(_) => 6,
        }
    }

    /// The error subcode; 0 where the code has none.
    pub fn subcode(self) -> u8 {
        match self {
            ErrorKind::Header(subcode) => subcode as u8,
            ErrorKind::Open(subcode) => subcode as u8,
            ErrorKind::Update(subcode) => subcode as u8,
            ErrorKind::HoldTimerExpired => 0,
            ErrorKind::Fsm(subcode) => subcode as u8,
            ErrorKind::Cease(subcode) => subcode as u8,
        }
    }
}

impl From<HeaderError> for ErrorKind {
    fn from(subcode: HeaderError) -> ErrorKind {
        ErrorKind::Header(subcode)
    }
}

impl From<OpenError> for ErrorKind {
    fn from(subcode: OpenError) -> ErrorKind {
        ErrorKind::Open(subcode)
    }
}

impl From<UpdateError> for ErrorKind {
    fn from(subcode: UpdateError) -> ErrorKind {
        ErrorKind::Update(subcode)
    }
}

impl From<FsmError> for ErrorKind {
    fn from(subcode: FsmError) -> ErrorKind {
        ErrorKind::Fsm(subcode)
    }
}

/// An error of the peer that ends the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    /// The code and subcode of the NOTIFICATION that reports it.
    pub kind: ErrorKind,
    /// The data of that NOTIFICATION: the offending part of the message, where the code asks for it.
    pub data: Vec<u8>,
    /// What was wrong, for the log; empty where the code says it all.
    pub reason: &'static str,
}

impl MessageError {
    /// An error without data.
    pub fn new(kind: impl Into<ErrorKind>, reason: &'static str) -> MessageError {
        MessageError { kind: kind.into(), data: Vec::new(), reason }
    }

    /// The same error with this data, cut to 64 octets.
    pub fn with(self, data: &[u8]) -> MessageError {
        MessageError { data: data[..data.len().min(MAX_ERROR_DATA)].to_vec(), ..self }
    }

    /// The subcode of the NOTIFICATION.
    pub fn subcode(&self) -> u8 {
        self.kind.subcode()
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} ({}/{})", self.reason, self.kind.code(), self.kind.subcode())
    }
}

impl Error for MessageError {}

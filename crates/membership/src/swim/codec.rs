//! The message codec for the library `foca`, which checks reports from others against what this router itself receives.

use super::{Contacts, Incarnation, MAX_GENERATION};
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec, State};
use std::cell::RefCell;
use std::rc::Rc;

/// Encodes as the library's own codec does. Decodes a report that a router is down as a mere suspicion while this
/// router receives datagrams from it.
pub(super) struct EvidenceCodec {
    pub(super) contacts: Rc<RefCell<Contacts>>,
    pub(super) me: u16,
    /// The number of such reports that were overruled.
    pub(super) contradicted: Rc<RefCell<u64>>,
}

impl Codec<Incarnation> for EvidenceCodec {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Incarnation>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_header(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Incarnation>, Self::Error> {
        let header: Header<Incarnation> = PostcardCodec.decode_header(buf)?;
        check_incarnation(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Incarnation>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Incarnation>, Self::Error> {
        let member: Member<Incarnation> = PostcardCodec.decode_member(buf)?;
        let incarnation = *member.id();
        check_incarnation(&incarnation)?;
        let contacts = self.contacts.borrow();
        if !contacts.is_in_cluster(incarnation.router) {
            return Err(postcard::Error::SerdeDeCustom);
        }
        let failed = member.state() == State::Down && !incarnation.leaving && incarnation.router != self.me;
        if failed && contacts.refutes(&incarnation) {
            *self.contradicted.borrow_mut() += 1;
            return Ok(Member::new(incarnation, member.incarnation(), State::Suspect));
        }
        Ok(member)
    }
}

/// Rejects a generation above [`MAX_GENERATION`]: no later incarnation could follow it.
fn check_incarnation(incarnation: &Incarnation) -> Result<(), postcard::Error> {
    if incarnation.generation > MAX_GENERATION {
        Err(postcard::Error::SerdeDeCustom)
    } else {
        Ok(())
    }
}

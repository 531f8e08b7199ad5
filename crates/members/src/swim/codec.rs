//! The codec of the library, which weighs the word of others against what this router hears.

use super::{Contacts, Life, YOUNGEST};
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec, State};
use std::cell::RefCell;
use std::rc::Rc;

/// Reads the word of others that a router is down as a suspicion, where that router is heard directly.
pub(super) struct EvidenceCodec {
    pub(super) contacts: Rc<RefCell<Contacts>>,
    pub(super) me: u16,
    /// How often the word of others was outweighed.
    pub(super) contradicted: Rc<RefCell<u64>>,
}

impl Codec<Life> for EvidenceCodec {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Life>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_header(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Life>, Self::Error> {
        let header: Header<Life> = PostcardCodec.decode_header(buf)?;
        check_life(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Life>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Life>, Self::Error> {
        let member: Member<Life> = PostcardCodec.decode_member(buf)?;
        let life = *member.id();
        check_life(&life)?;
        let contacts = self.contacts.borrow();
        if !contacts.knows(life.router) {
            return Err(postcard::Error::SerdeDeCustom);
        }
        let failed = member.state() == State::Down && !life.leaving && life.router != self.me;
        if failed && contacts.refutes(&life) {
            *self.contradicted.borrow_mut() += 1;
            return Ok(Member::new(life, member.incarnation(), State::Suspect));
        }
        Ok(member)
    }
}

/// A life beyond the youngest could never be followed by another.
fn check_life(life: &Life) -> Result<(), postcard::Error> {
    if life.born > YOUNGEST {
        Err(postcard::Error::SerdeDeCustom)
    } else {
        Ok(())
    }
}

//! The codec of the library, which weighs the word of others against what this router hears.

use super::{Ears, Life, YOUNGEST};
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec, State};
use std::cell::RefCell;
use std::rc::Rc;

/// The library's codec, with another's word that a router is down weighed against our own ears.
pub(super) struct Weighed {
    pub(super) ears: Rc<RefCell<Ears>>,
    pub(super) me: u16,
    pub(super) contradicted: Rc<RefCell<u64>>,
}

impl Codec<Life> for Weighed {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Life>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_header(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Life>, Self::Error> {
        let header: Header<Life> = PostcardCodec.decode_header(buf)?;
        known_life(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Life>, buf: impl BufMut) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Life>, Self::Error> {
        let member: Member<Life> = PostcardCodec.decode_member(buf)?;
        known_life(member.id())?;
        let ears = self.ears.borrow();
        if usize::from(member.id().router) >= ears.heard.len() {
            return Err(postcard::Error::SerdeDeCustom);
        }
        let accused = member.state() == State::Down && !member.id().leaving && member.id().router != self.me;
        if accused && ears.hears(member.id()) {
            *self.contradicted.borrow_mut() += 1;
            return Ok(Member::new(*member.id(), member.incarnation(), State::Suspect));
        }
        Ok(member)
    }
}

fn known_life(life: &Life) -> Result<(), postcard::Error> {
    if life.born > YOUNGEST {
        Err(postcard::Error::SerdeDeCustom)
    } else {
        Ok(())
    }
}

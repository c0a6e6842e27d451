//! A part of a body, as text within a message.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;

/// Bytes of a body.
#[derive(Clone, Debug)]
pub(crate) struct BodyPart(pub(crate) Box<[u8]>);

impl Serialize for BodyPart {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for BodyPart {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Cow::<str>::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(&*text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

//! Chained hashes of the leading blocks of a prompt, which identify cached prefixes.

use serde_json::Value;

/// Size of a block of rendered messages.
pub const BLOCK_BYTES: usize = 128;
/// Most leading blocks that are hashed.
pub const MAX_BLOCKS: usize = 64;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hash of a block together with all blocks before it.
pub type Hash = u64;

/// Returns the hashes of the full leading blocks of the messages of a chat.
///
/// A last block of fewer than [`BLOCK_BYTES`] bytes has no hash.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// let text = "x".repeat(300);
/// let one = json!([{"role": "system", "content": text}, {"role": "user", "content": "a"}]);
/// let two = json!([{"role": "system", "content": text}, {"role": "user", "content": "b"}]);
/// assert_eq!(route::prefix::hash_messages(&one), route::prefix::hash_messages(&two));
/// ```
#[must_use]
pub fn hash_messages(messages: &Value) -> Vec<Hash> {
    let mut rendered = Vec::new();
    for message in messages.as_array().into_iter().flatten() {
        render(message, &mut rendered);
        if rendered.len() >= BLOCK_BYTES * MAX_BLOCKS {
            break;
        }
    }
    hash_blocks(&rendered)
}

/// Appends the role and the content of a message, each with a line feed.
fn render(message: &Value, rendered: &mut Vec<u8>) {
    let role = message.get("role").and_then(Value::as_str).unwrap_or_default();
    rendered.extend_from_slice(role.as_bytes());
    rendered.push(b'\n');
    match message.get("content") {
        Some(Value::String(text)) => rendered.extend_from_slice(text.as_bytes()),
        Some(content) => rendered.extend_from_slice(content.to_string().as_bytes()),
        None => {}
    }
    rendered.push(b'\n');
}

/// Returns the hashes of the full leading blocks of rendered messages.
#[must_use]
pub fn hash_blocks(rendered: &[u8]) -> Vec<Hash> {
    let blocks = rendered.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let chained = blocks.scan(FNV_OFFSET, |hash, block| {
        *hash = extend_hash(*hash, block);
        Some(*hash)
    });
    chained.collect()
}

/// Continues an FNV-1a hash over more bytes.
#[must_use]
pub fn extend_hash(hash: Hash, bytes: &[u8]) -> Hash {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Mixes the bits of a hash, so that rendezvous weights are evenly distributed.
#[must_use]
pub fn mix(hash: Hash) -> Hash {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

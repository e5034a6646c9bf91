// Messages between instances. Regenerate with `make wire`.
namespace py peer

enum Status {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

// One instance as the sender knows it.
struct Member {
  1: required string instance,
  2: required i64 incarnation,
  3: required string zone,
  4: required string address,
  5: required Status status,
  // Grows when an instance refutes a false suspicion.
  6: required i32 refutation,
}

// What the sender can say about the log and the configuration.
struct Vouch {
  1: required i64 config_version,
  // Milliseconds since the sender knew the log's end; -1 for never.
  2: required i64 log_age_ms,
}

// Work of the last seconds that the sender saw for one engine pool.
struct Demand {
  1: required string pool,
  2: required double prefill_tokens_per_s,
  3: required double decode_tokens_per_s,
  4: required double requests_per_s,
}

enum Kind {
  PING = 1,
  ACK = 2,
  PING_REQ = 3,
}

// One datagram.
struct Message {
  1: required Kind kind,
  2: required i64 sequence,
  3: required Member sender,
  4: required i64 hlc_wall_ms,
  5: required i32 hlc_counter,
  6: required Vouch vouch,
  7: required list<Member> gossip,
  8: required list<Demand> demand,
  // Instance to be pinged on behalf of the sender.
  9: optional Member target,
}

// Ask a peer for the state of a stream, over TCP.
struct StateRequest {
  1: required string stream,
}

struct StateReply {
  1: required bool known,
  2: required i64 through,
  // JSON of the state's dump.
  3: required binary state,
}

// Work that one instance has sent to an engine and that is not ended.
struct EngineWork {
  1: required string engine,
  // Prompt tokens not yet processed.
  2: required i64 tokens,
  3: required i32 sequences,
  // The part of the tokens that is in long prompts.
  4: required i64 long_tokens,
  // Tokens of KV cache that the sequences hold or will hold.
  5: required i64 kv_tokens,
}

// Shared parts of prompts that an engine has, or has in a moment.
struct PartsHeld {
  1: required string engine,
  // Hash of the chain of parts.
  2: required i64 chain,
  // Milliseconds until the engine has them.
  3: required i32 ready_ms,
}

// All of an instance's work at engines, in a datagram of its own.
struct WorkNote {
  1: required string instance,
  // Grows with each note of one start of the instance.
  2: required i64 sequence,
  3: required list<EngineWork> work,
  // Version of the configuration in force at the sender; 0 for none.
  4: required i64 config_version,
  // Offset up to which the sender knows the entries of targets.
  5: required i64 through,
  // Engines that change their role by the sender's order.
  6: required list<string> changing,
  // Placements since the note before.
  7: required list<PartsHeld> held,
}

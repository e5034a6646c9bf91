// Messages between instances. Regenerate with `make wire`.
namespace py peer

enum Status {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEFT = 4,
}

// State of one instance as the sender knows it.
struct Member {
  1: required string instance,
  2: required i64 incarnation,
  3: required string zone,
  4: required string address,
  5: required Status status,
  // Incremented by an instance to refute a false suspicion about itself.
  6: required i32 refutation,
}

// How current the sender's knowledge of the log and the configuration is.
struct Vouch {
  1: required i64 config_version,
  // Milliseconds since the sender last had read up to the end of the log;
  // -1 for never.
  2: required i64 log_age_ms,
}

// Recent demand for one engine pool, from requests at the sender.
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

// Membership message in one datagram.
struct Message {
  1: required Kind kind,
  2: required i64 sequence,
  3: required Member sender,
  4: required i64 hlc_wall_ms,
  5: required i32 hlc_counter,
  6: required Vouch vouch,
  7: required list<Member> gossip,
  8: required list<Demand> demand,
  // PING_REQ: instance that the receiver pings on behalf of the sender.
  // ACK: instance that answered such a ping.
  9: optional Member target,
}

// Request for the replicated state of a log stream, over TCP.
struct StateRequest {
  1: required string stream,
  // Asks for one key of the state only.
  2: optional string key,
  // Names of the compressions that the sender understands; absent from earlier
  // releases.
  3: optional list<string> encodings,
  // Digest of the configuration that the sender has, from which the
  // differences may be sent; absent without one.
  4: optional binary config_digest,
}

struct StateReply {
  1: required bool known,
  2: required i64 through,
  // State as JSON, compressed if an encoding is named.
  3: required binary state,
  4: optional string encoding,
  // Configuration as compressed JSON, which the state then leaves out.
  5: optional binary configuration,
  // Digest of the configuration from which it differs; absent if it is
  // compressed by itself.
  6: optional binary config_base,
}

// Load from requests that one instance has in flight at an engine.
struct EngineWork {
  1: required string engine,
  // Prompt tokens not yet processed.
  2: required i64 tokens,
  3: required i32 sequences,
  // Those of the tokens that belong to long prompts.
  4: required i64 long_tokens,
  // Tokens of KV cache that the sequences occupy or will occupy.
  5: required i64 kv_tokens,
}

// Prefix blocks that an engine has cached or will have cached soon.
struct PartsHeld {
  1: required string engine,
  // Hash of the chain of prefix blocks.
  2: required i64 chain,
  // Milliseconds until the blocks are cached.
  3: required i32 ready_ms,
}

// A stream of events that began recently.
struct StreamBegin {
  // Id of the caller's attempt.
  1: required string attempt,
  2: required string service_name,
  // Version of the software of the engine that sent its first event.
  3: required string software,
}

// Evidence that engines crash on a prefix block of prompts, or that targets
// crash on a whole request.
struct CrashSuspect {
  // Hash of the block's id, or fingerprint of the request.
  1: required i64 block,
  // Hashes of the incarnations of engines that crashed, and of the prompts
  // that they were to answer.
  2: required list<i32> engines,
  3: required list<i32> prompts,
  // Milliseconds since the last of the crashes and failed trials.
  4: required i32 age_ms,
  // Hashes of the incarnations of targets at which a trial failed.
  5: optional list<i32> trials,
  // Milliseconds since the last trial was announced or sent; absent if there
  // was none.
  6: optional i32 trial_age_ms,
  // Number of the instance that announced it; absent once it is sent.
  7: optional i32 trial_by,
}

// A prefix block that was suspected, but is in a prompt answered in full, or
// such a request.
struct ServedBlock {
  // Hash of the block's id, or fingerprint of the request.
  1: required i64 block,
  // Milliseconds since that answer.
  2: required i32 age_ms,
}

// Limit that a target names for the requests of all instances together.
struct TargetLimit {
  // Hash of the target's incarnation.
  1: required i32 target,
  // Requests a second; absent if the target names no limit any more.
  2: optional double limit,
  // Milliseconds since an answer of the target said so.
  3: required i32 age_ms,
  // Requests that the sender sent to it in the window of the limit.
  4: required i32 sends,
}

// Demand for the engines of one service, from requests at the sender.
struct StreamDemand {
  1: required string service_name,
  // Prompt tokens a second to prefill apart from streams, beside them, and
  // either way.
  2: required double apart_tokens_per_s,
  3: required double beside_tokens_per_s,
  // Tokens a second to generate.
  4: required double output_tokens_per_s,
  // Sum of output tokens times prompt tokens of the requests, a second.
  5: required double context_per_s,
  6: required double either_tokens_per_s,
}

// Time that an engine took for a prompt, or for an event of a stream.
struct MeasuredTime {
  1: required string service_name,
  // Cost of the prompt in tokens, or number of streams in the batch.
  2: required i32 quantity,
  // Microseconds for the prompt, or from one event to the next.
  3: required i32 time_us,
  // Tokens in one event; absent for a prompt.
  4: optional double tokens_per_event,
  // Hash of the engine's incarnation; absent from earlier releases.
  5: optional i32 target,
  // Number of events of the stream; absent for a prompt, and from earlier
  // releases, which share no streams of few events.
  6: optional i32 events,
}

// Requests a second of client accounts, those that were refused included, in
// columns. The largest accounts are named, the rest are together.
struct AccountDemand {
  // Hash of the account's name; 0 for the rest.
  1: required list<i32> accounts,
  // Whether the requests of this row may wait.
  2: required list<bool> may_wait,
  // Requests in a thousand seconds: lately, and as usual.
  3: required list<i32> recent,
  4: required list<i32> usual,
}

// Sums of the reports of several instances, or a part of them. They have fields
// of their own: an earlier release takes a report's work for its sender's.
struct LoadSummary {
  // Zone of the instances; empty if they are those of all zones.
  1: required string zone,
  // Number of instances.
  2: required i32 instances,
  // The summary is the part with this number, from 0, of so many parts. It
  // holds all load of the engines whose hash modulo the number of parts is
  // that number.
  3: required i32 part,
  4: required i32 parts,
  // Engines that have any load, and for each of them the fields of EngineWork,
  // in columns: each instance decodes some thousands a second.
  5: required list<string> engines,
  6: required list<i32> tokens,
  7: required list<i32> sequences,
  8: required list<i32> long_tokens,
  9: required list<i32> kv_tokens,
  // Demand for engines, by service; in the first part only.
  10: required list<StreamDemand> demand,
  // Demand of client accounts; in the first part only, absent without any.
  11: optional AccountDemand accounts,
}

// Load report: load of one instance at all engines, in a separate datagram.
struct WorkNote {
  1: required string instance,
  // Incremented with each report; a later start of the instance begins
  // above earlier ones.
  2: required i64 sequence,
  3: required list<EngineWork> work,
  // Version of the configuration in force at the sender; 0 for none.
  4: required i64 config_version,
  // Offset up to which the sender has read the records of targets.
  5: required i64 through,
  // Engines that are changing their role on the sender's command.
  6: required list<string> changing,
  // New placements of prefix blocks since the previous report.
  7: required list<PartsHeld> held,
  // Streams that began at the sender since the previous report.
  8: optional list<StreamBegin> begun,
  // Prefix blocks on which engines may crash, and those cleared of it.
  9: optional list<CrashSuspect> suspects,
  10: optional list<ServedBlock> served,
  // Targets that name a limit or did so lately.
  11: optional list<TargetLimit> limits,
  // Whole requests on which targets may crash, and those cleared of it.
  12: optional list<CrashSuspect> requests,
  13: optional list<ServedBlock> served_requests,
  // Hashes of the incarnations of targets that said that they leave.
  14: optional list<i32> leaving,
  // Era of the log in which the offset is valid; 0 if the log names none.
  15: optional i64 era,
  // Demand for engines, by service.
  16: optional list<StreamDemand> demand,
  // Times that the sender measured since the previous report.
  17: optional list<MeasuredTime> measured,
  // Milliseconds since the log held no newer configuration, and no further
  // record of targets, than the sender has; absent if unknown.
  18: optional i32 config_age_ms,
  19: optional i32 targets_age_ms,
  // Sums of the reports of several instances. Of such a report only these, the
  // placements, which are of these instances, and what was read of the log
  // count.
  20: optional LoadSummary summary,
  // Wall time at the sender, in milliseconds since 1970; only where instances
  // count by windows of the wall clock.
  21: optional i64 wall_ms,
  // Demand of client accounts at the sender; absent without any.
  22: optional AccountDemand accounts,
}

// Requests that targets began to run, as one instance counted them in one
// window of the wall clock. In a datagram of its own, beside load reports; its
// fields have numbers of their own, so that neither is taken for the other.
struct UsageNote {
  101: required string instance,
  // Wall time at which the instance started, in milliseconds since 1970.
  102: required i64 start_ms,
  103: required i64 window,
  // Accounts with their numbers of requests, in columns. The numbers only grow.
  104: required list<string> accounts,
  105: required list<i64> counts,
}

// Header of a request or an answer that is handed on.
struct HopField {
  1: required binary name,
  2: required binary value,
}

// Request that an instance hands on to a peer. Its body follows in frames of
// their own.
struct HopRequest {
  1: required binary method,
  2: required binary target,
  3: required list<HopField> headers,
  4: required i64 body_bytes,
  // Service that the sender chose from the shares of the route.
  5: required string service_name,
  // Milliseconds since the head arrived from the caller.
  6: required i32 waited_ms,
  // Milliseconds within which the sender needs the answer.
  7: required i32 left_ms,
  // Number of targets that the request may still reach.
  8: required i32 targets_left,
  // Ids of targets that it is not sent to.
  9: required list<string> excluded,
  // Version of the configuration by which it was accepted.
  10: required i64 config_version,
  // Version of the software that began the stream; absent if none did.
  11: optional string software,
  // Id of the event after which the stream goes on; absent if the sender has
  // forwarded none.
  12: optional binary last_event_id,
  // Digest of the key of its account; absent without one.
  13: optional string account_key,
}

// Head of an answer.
struct HopHead {
  1: required i32 status,
  2: required list<HopField> headers,
  // Id of the target.
  3: required string target,
  // Version of its software.
  4: required string software,
  // Ids of further targets that the request is not sent to again.
  5: required list<string> excluded,
}

// Refusal of a request by the peer itself.
struct HopRefusal {
  1: required i32 status,
  2: required string kind,
  3: required string detail,
  4: optional double retry_after_s,
  // Whether the peer has not taken the request, so that another peer may.
  5: required bool not_taken,
  // Number of targets that the request has reached.
  6: required i32 targets,
  // Ids of targets that it is not sent to again.
  7: required list<string> excluded,
  // Whether the peer has only run out of the targets that it was allowed, so
  // that a request that may be repeated may reach further ones.
  8: required bool may_go_on,
}

// One frame of a connection for requests. Either side sends the next one of
// the members below.
struct HopFrame {
  // Side that sends and the nonces of both, so that a recorded frame is not
  // valid on another connection.
  1: required binary session,
  // Number of the frame among those of its side.
  2: required i64 sequence,
  3: optional HopRequest request,
  // The peer takes the request: the sender may send its body.
  4: optional bool ready,
  // Piece of the body of the request or of the answer.
  5: optional binary data,
  // Whether the body ends with this frame.
  6: optional bool last,
  7: optional HopHead head,
  8: optional HopRefusal refusal,
}

// Frames between hosts. A frame carries lists, so that one write serves many
// requests.
namespace py trefoilspool.wire.gen.peer

struct Ask {
  1: i64 request
  2: string cell
  3: string workspace
  4: byte tier
  5: i32 weight
  6: i32 deadline_ms        // remaining time, relative to the frame's sending
  7: i32 prompt_tokens
  8: i32 output_tokens
  9: byte victim_class
  10: binary prefix_hashes         // 4-byte prefix hashes at power-of-two depths
  11: string kind
  12: list<string> avoid
  13: bool interactive
}
struct Grant {
  1: i64 request
  2: string endpoint
  3: i32 expiry_ms
}
struct Refusal {
  1: i64 request
  2: byte reason
  3: i32 retry_after_ms
}
struct Release {
  1: i64 request
  2: byte ending
  3: i32 first_token_ms
  4: i32 prompt_tokens
  5: i32 cached_tokens
  6: i32 output_tokens
  7: i32 decode_ms
}
struct Held {
  1: Ask ask
  2: string endpoint
}
struct Pace {
  1: string endpoint
  2: i32 streams
  3: i32 tokens
  4: i32 elapsed_ms
}
struct Beat {
  1: i64 incarnation
  2: byte state
  3: i64 settings_offset
  4: bool hears            // whether the sender hears the receiver
}
struct ClaimQuery {
  1: i64 query
  2: binary key
}
struct ClaimAnswer {
  1: i64 query
  2: byte state
  3: i16 status
  4: binary body
}
struct SettingsRecord {
  1: i64 offset
  2: binary body
}
struct Frame {
  1: string sender
  2: optional Beat beat
  3: optional list<Ask> asks
  4: optional list<Grant> grants
  5: optional list<Refusal> refusals
  6: optional list<Release> releases
  7: optional list<i64> withdrawals
  8: optional list<i64> revocations
  9: optional list<Held> held
  10: optional list<Pace> paces
  11: optional list<ClaimQuery> claim_queries
  12: optional list<ClaimAnswer> claim_answers
  13: optional i64 settings_from
  14: optional list<SettingsRecord> settings_records
  15: optional set<i64> roll
}

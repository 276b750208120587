// Datagrams between hosts: who is here, and places for requests.
namespace py trefoilspool.wire.gen.mesh

struct HostCard {
  1: string name
  2: string address         // IP address of the host's datagrams
  3: i64 incarnation
  4: bool leaving
  5: i64 settings_version   // configuration in force there
  8: optional i32 capacity  // processor of the host, thousandths of a core
}
// How far a topic of the store has been read.
struct Position {
  1: i64 era                // restores of the store so far
  2: i64 offset
  3: optional i32 age_ms    // since the sender asked for the read; missing: 0
}
// One run of an endpoint's process.
struct EndpointRun {
  1: string name
  2: i64 started_ms         // Unix time of its start
}
// Whether a request may run at the version that is rolled out.
struct VersionRule {
  1: string target
  2: byte use               // 0 avoided, 1 preferred, 2 required, 3 forbidden
  3: i32 share_permille     // of the requests that the target gets
}
struct Ask {
  1: i64 request
  2: string service_name
  3: string workspace
  4: i16 rank
  5: i32 prompt_tokens
  6: i32 output_tokens
  7: i32 aim_ms             // what is left until the answer is late
  8: i32 left_ms            // what is left until the deadline
  9: list<string> avoid
  10: i16 attempt
  11: list<string> parts    // the prompt's parts, as the caller names them
  12: bool streams
  13: i32 charge            // tokens counted towards the workspace's limit
  14: string data_centre
  15: i32 waited_ms         // since the request arrived at its entry
  16: bool repeatable
  17: optional string fingerprint // of the path, the caller and the body
  18: optional string software    // version at which the stream began
  19: optional VersionRule version_rule
}
struct Verdict {
  1: i64 request
  2: byte kind              // 0 waiting, 1 granted, 2 refused
  3: string endpoint
  4: byte reason
  5: i32 retry_after_ms
  6: optional bool probe    // the grant tests a quarantined part
  7: optional bool quarantined // the reason; builds before read field 4
  8: optional bool unverified  // the endpoint may have another version by now
  9: optional i64 started_ms   // start of the endpoint's run, Unix time
}
struct End {
  1: i64 request
  2: byte ending
  3: string endpoint
  4: i32 first_ms           // from the dispatch to the first event; 0: none
  5: i32 events
  6: i32 decode_ms          // from the first event to the last
  7: i32 prompt_tokens
  8: optional bool down     // the endpoint refused a connection
}
struct Holding {
  1: i64 request
  2: string service_name
  3: string endpoint
  4: i32 prompt_tokens
  5: i32 output_tokens
  6: i32 age_ms
  7: optional i32 streaming_ms // from the first event to the last
}
// An attempt that ended with its endpoint at the start of its answer.
struct CrashReport {
  1: EndpointRun run
  2: list<string> parts     // of the prompt, all but the last; then the
                            // fingerprint of the request
  3: i64 request
  4: i32 age_ms             // since its end
  5: optional bool down     // its endpoint refused a connection after it
}
// The state of a part of prompts under which endpoints end.
struct QuarantineEntry {
  1: string part
  2: i64 revision
  3: bool active
}
// How many requests a second a run takes from all hosts.
struct EndpointLimit {
  1: EndpointRun run
  2: optional double per_s  // none: any number again
  3: i32 age_ms             // since the run said so; of the end of a limit,
                            // since the request was sent that showed it
  4: optional double refusals_per_s // that the run can turn away; none: any
}
// Prompt parts that an entry saw served.
struct Served {
  1: list<string> parts
  2: list<i32> ages_ms      // since a request with each was last sent
  3: i32 covered_ms         // for so long no others were served there
}
// The software version at which a stream began.
struct StreamOrigin {
  1: i64 stream             // hash of the workspace and the first request's id
  2: string software        // empty: it is not known
  3: byte source            // 0 recorded, 1 the only version of late, 2 one of
                            // several, 3 the sender has not watched for so long
  4: string service_name
  5: optional i32 age_ms    // of the sender's records of the endpoints; missing:
                            // not known
}
// A stream of whose origin the sender asks.
struct OriginQuery {
  1: i64 stream
  2: string route           // name of the route in the configuration
  3: i32 window_ms          // the stream began at most so long ago
}
struct Load {
  1: string endpoint
  2: i32 held
  3: bool ejected
}
struct Level {
  1: string workspace
  2: i64 tokens
}
struct Digest {
  1: list<Load> loads
  2: list<Level> levels
}
// An operator's order to move a service to a version.
struct RolloutOrder {
  1: string service_name
  2: string target
  3: i32 duration_ms
  4: Position position      // of the order's record in the store
}
// What the home host has decided of an order.
struct RolloutNotice {
  1: RolloutOrder order
  2: byte phase             // 0 held, 1 canary, 2 expanding, 3 draining,
                            // 4 completed, 5 reverted
  3: i32 share_permille     // of the requests that the target may get
  4: bool stored            // the status in the store says the same
  5: i32 age_ms             // since the order was taken up
}
// Responses on a route at a group of endpoints, since the order is known.
struct RolloutRow {
  1: string route
  2: i16 group              // of the target's endpoints; -1 other versions
  3: i32 requests
  4: i32 failures
  5: map<i16, i32> first_bytes // responses by bucket of the time
  6: map<i16, i32> paces
}
// What an entry has seen of an order.
struct RolloutReport {
  1: RolloutOrder order
  2: byte phase             // on which the entry acts
  3: i32 sent               // attempts to the service
  4: i32 exposed            // those to the target
  5: i32 open_others        // attempts open at other versions
  6: list<RolloutRow> rows  // those that have changed
}
struct Datagram {
  1: HostCard sender
  2: optional list<Ask> asks
  3: optional list<Verdict> verdicts
  4: optional list<End> ends
  5: optional list<Holding> roll
  6: optional Digest digest
  7: optional list<HostCard> hosts
  8: optional bool hello    // the sender asks for a sign of life; if true, for
                            // a list of the hosts
  9: optional list<Level> levels  // what an earlier home told the sender
  11: optional Position endpoints_read // the sender has just read the
                                       // endpoints' records; the position after
                                       // the newest that changed
  12: optional list<EndpointRun> leaving // runs that told the sender that they
                                         // are leaving
  13: optional list<CrashReport> crashes
  14: optional list<QuarantineEntry> quarantine
  15: optional list<EndpointLimit> limits
  16: optional Served served // for a new home
  17: optional list<StreamOrigin> begun   // streams that began at the sender
  18: optional list<OriginQuery> queries
  19: optional list<StreamOrigin> origins // the answer to queries
  20: optional list<RolloutNotice> rollouts
  21: optional list<RolloutReport> rollout_reports
}

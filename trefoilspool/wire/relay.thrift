// A host's request for a connection to an endpoint, and the answer; each is
// sent once at the start of a TCP connection between hosts.
namespace py trefoilspool.wire.gen.relay

struct RelayRequest {
  1: string endpoint
  2: i64 started_ms         // Unix time of the start of the endpoint's run
  3: i32 lifetime_ms        // the connection may be closed after it
}
struct RelayReply {
  1: byte outcome
  2: bool reaches_other     // the answering host reaches another endpoint
}

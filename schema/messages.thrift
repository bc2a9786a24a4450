// Messages between the system's own processes.
// Rule for change: fields are only added, never renumbered or reused.
namespace py tamarackthread.generated.messages

const i32 PROTOCOL_VERSION = 1

enum Role { ENTRY = 1, AGENT = 2, CONTROL = 3, OPERATOR = 4 }

// What is known for certain about a call's execution at its target.
enum Ran { NOT_RUN = 0, COMPLETE = 1, MAY_HAVE_RUN = 2 }

// ---- greeting -----------------------------------------------------------
struct Greeting {
  1: i32 version,
  2: string node,            // unique id of the process's node
  3: Role role,
  4: string region,
  5: string zone,
  6: binary nonce,           // fresh random bytes, answered by Proof
  7: string address,         // where this node listens, empty if nowhere
  8: i64 incarnation,        // grows at each start of the process
}
struct Proof { 1: binary mac }

struct Failure { 1: string code, 2: string text, 3: optional string leader }
struct Done { 1: optional i64 value }

// ---- a call through entry and agent -------------------------------------
struct Header { 1: string name, 2: string value }
struct OpenCall {
  1: binary call_id,         // 16 random bytes, the call's identity
  2: string service_name,
  3: string target,
  4: string organisation,
  5: string method,
  6: string path,
  7: list<Header> headers,
  8: bool idempotent,
  9: i32 priority,           // 0 urgent, 1 normal, 2 background
  10: i32 deadline_ms,       // time left at the sender
  11: i64 config_revision,
  12: optional binary claim, // claim's identity, empty without a key
  13: i64 fence,             // claim's fencing number
  14: i32 resume_events,     // stream events the caller already has
  15: i32 attempt,
  16: string request_id,
  17: optional Handover handover, // set with a claim: when and where it may start
}
// The only process and the only time in which a claimed call may start.  The
// time is on that process's own clock, so that clocks need not agree.
struct Handover { 1: string target, 2: string address, 3: i64 incarnation, 4: i64 until_ms }
struct CallHead { 1: binary call_id, 2: i32 status, 3: list<Header> headers }
struct CallEnd {
  1: binary call_id,
  2: Ran ran,
  3: string code,            // empty when complete
  4: string text,
  5: i32 retry_after_ms,
  6: i64 events,             // stream events sent in all, including resumed ones
}
struct CancelCall { 1: binary call_id, 2: string code }

// ---- load reports -------------------------------------------------------
struct PrefixNote { 1: i64 prefix, 2: bool held }
struct LoadReport {
  1: string target,
  2: i64 sequence,
  3: i32 age_ms,             // age of the engine's own figures when sent
  4: i32 running,
  5: i32 queued,
  6: i32 batch_slots,
  7: i32 queued_tokens,
  8: double step_ms,
  9: double tokens_per_second,
  10: bool leaving,
  11: bool stuck,
  12: list<PrefixNote> prefixes,
  13: i64 prefix_sequence,
  14: i32 entries,           // entries that hold a link to this agent
}

// ---- consensus ----------------------------------------------------------
struct LogEntry { 1: i64 index, 2: i64 term, 3: i32 kind, 4: binary command }
struct VoteRequest {
  1: string group, 2: i64 term, 3: string candidate,
  4: i64 last_index, 5: i64 last_term, 6: bool pre_vote, 7: binary disk_id,
}
struct VoteReply { 1: i64 term, 2: bool granted, 3: binary disk_id }
struct AppendRequest {
  1: string group, 2: i64 term, 3: string leader,
  4: i64 previous_index, 5: i64 previous_term,
  6: list<LogEntry> entries, 7: i64 commit_index, 8: i64 round,
  9: bool release_lease,     // the leader gives up its lease: a vote needn't wait
  10: bool campaign,         // and this member is asked to stand for election now
}
struct AppendReply {
  1: i64 term, 2: bool success, 3: i64 last_index, 4: i64 conflict_index,
  5: i64 round, 6: binary disk_id,
}
struct SnapshotRequest {
  1: string group, 2: i64 term, 3: string leader,
  4: i64 last_index, 5: i64 last_term, 6: i64 offset, 7: i64 total,
  8: binary chunk, 9: i64 checksum, 10: list<string> voters, 11: list<string> learners,
}
struct SnapshotReply { 1: i64 term, 2: i64 next_offset, 3: bool installed }
struct ProposeRequest { 1: string group, 2: binary command }
struct ProposeReply { 1: binary result, 2: i64 index }
struct MemberRequest { 1: string group, 2: string action, 3: string node, 4: string address, 5: string replaces }
struct Member { 1: string node, 2: string address, 3: bool voter, 4: i64 match_index, 5: bool leader, 6: bool reachable }
struct MemberReply { 1: list<Member> members, 2: i64 term, 3: i64 commit_index, 4: string text }

// ---- configuration ------------------------------------------------------
// A document is one versioned piece of configuration: kind is one of
// profile, service, organisation, target, shard.  Body is JSON checked
// against the kind's schema; an empty body is a deletion.
struct Document { 1: string kind, 2: string name, 3: i64 version, 4: string body, 5: i64 revision }
struct ChangeRequest {
  1: string change_id, 2: string actor, 3: string origin,
  4: string kind, 5: string name, 6: i64 based_on, 7: string body,
}
struct Finding { 1: string place, 2: string code, 3: string text }
enum ChangeStatus { ACCEPTED = 1, CONFLICT = 2, INVALID = 3 }
struct ChangeReply {
  1: ChangeStatus status, 2: i64 revision, 3: i64 version,
  4: optional Document current, 5: list<Finding> findings, 6: bool repeated,
}
// A long list comes in pages: with more set, ask again after the last name.
struct ReadRequest { 1: string kind, 2: string name, 3: bool history, 4: string after }
struct ReadReply { 1: list<Document> documents, 2: i64 revision, 3: bool more }
struct AuditRequest { 1: i64 after, 2: i32 limit }
struct AuditRecord {
  1: i64 revision, 2: string actor, 3: string origin, 4: string kind, 5: string name,
  6: string change_id, 7: string before, 8: string after, 9: string outcome, 10: i64 unix_ms,
}
struct AuditReply { 1: list<AuditRecord> records }

// ---- configuration feed: nodes pull from a parent, parents may be relays --
struct FeedRequest {
  1: i64 after,              // the child's revision
  2: i64 epoch,              // incarnation of the child
  3: list<NodeState> nodes,  // this child and what changed below it since its last call
  4: bool whole,             // nodes lists all below, not only what changed
  5: i32 wait_ms,            // hold the answer this long when nothing is new
  6: i64 confirmed,          // every node below that does not lag has this revision
  7: optional i64 floor,     // set while a snapshot is fetched page by page
}
// A node that lags counts by its own revision, the others by the revision that
// the node above them confirms for all, so that nothing is sent for each node.
struct NodeState { 1: string node, 2: Role role, 3: string zone, 4: i64 revision, 5: bool gone, 6: i64 incarnation, 7: string address, 8: bool lags }
struct FeedReply {
  1: i64 revision,           // revision the documents lead to
  2: list<Document> documents,
  3: bool snapshot,          // documents are the whole state
  4: i32 lease_ms,           // lease from the time the request was sent
  5: i64 lease_revision,     // lease holds only at or above this revision
  6: list<string> redirect,  // ask these parents instead
  7: bool ask_whole,         // send the whole subtree next time
  8: bool more,              // ask again at once, the next page is ready
  9: i64 floor,              // deletions up to here are no longer listed
  10: i32 age_ms,            // a leader stood behind the lease at most so long
                             // before the request was sent; may be negative
}
struct StatusRequest { 1: i64 revision }
struct StatusReply {
  1: i64 revision, 2: i32 nodes, 3: i32 in_force, 4: list<NodeState> laggards,
  5: string leader, 6: i64 term, 7: bool in_force_everywhere, 8: i32 waiting_ms,
}

// ---- announcements ------------------------------------------------------
struct Announcement {
  1: string target, 2: string service_name, 3: string zone, 4: string region,
  5: string address, 6: i64 incarnation, 7: bool leaving, 8: string group, 9: i32 ranks,
  10: bool checks_fencing,
  11: string entry,          // set instead of target by an entry: its node
  12: i32 rank,              // of the target in its group, from 0
}
struct DrainRequest { 1: string target, 2: string actor, 3: bool cancel }

// ---- claims of work that must not repeat ---------------------------------
enum ClaimState { GRANTED = 1, RUNNING = 2, COMPLETE = 3, UNKNOWN = 4, RELEASED = 5 }
struct ClaimRequest {
  1: string shard, 2: binary key, 3: binary claim, 4: string holder,
  5: i32 keep_ms, 6: i32 deadline_ms, 7: binary digest,   // digest of the request, so that a key isn't reused for another
  8: optional Handover handover,
}
struct ClaimFinish {
  1: string shard, 2: binary key, 3: binary claim, 4: ClaimState state,
  5: i32 status, 6: list<Header> headers, 7: binary body, 8: i64 fence, 9: string target,
  10: optional Handover handover,                          // with RUNNING: where it goes next
  11: i32 move,              // RUNNING: number of this move; RELEASED: the move that the proof is about
}
struct ClaimReply {
  1: bool granted, 2: ClaimState state, 3: i64 fence, 4: i32 status,
  5: list<Header> headers, 6: binary body, 7: bool mismatch, 8: binary claim, 9: string target,
  10: optional Handover handover, 11: string holder, 12: string code, 13: bool known,
  14: i32 move,
}
struct ClaimLookup { 1: string shard, 2: binary key, 3: i32 wait_ms }

// Asked of agents: did this claim reach you, and can it still?
struct ClaimProbe { 1: binary claim, 2: i64 fence, 3: bool seal, 4: optional Handover handover }
// Without known, the agent can say nothing about the past of this claim.
struct ClaimProof {
  1: bool reached, 2: bool finished, 3: bool sealed, 4: bool known,
  5: bool answered, 6: i32 status, 7: list<Header> headers, 8: binary body,
}

// ---- commands and snapshots of the claim groups ----------------------------
struct ClaimOperation { 1: optional ClaimRequest claim, 2: optional ClaimFinish finish, 3: optional ClaimLookup lookup }
struct ClaimCommand { 1: string proposer, 2: i64 stamp_ms, 3: list<ClaimOperation> operations }
struct ClaimResults { 1: list<ClaimReply> replies }
struct ClaimRecord {
  1: binary key, 2: binary claim, 3: string holder, 4: binary digest, 5: i64 fence,
  6: ClaimState state, 7: i64 expires_ms, 8: i32 keep_ms, 9: optional Handover handover,
  10: i32 status, 11: list<Header> headers, 12: binary body, 13: i32 move,
}
struct ClaimSnapshot { 1: i64 clock_ms, 2: string proposer, 3: i64 stamp_ms, 4: i64 fence, 5: list<ClaimRecord> records }

// ---- leases with fencing numbers ------------------------------------------
struct LeaseRequest { 1: string name, 2: string holder, 3: i32 lease_ms, 4: i64 fence, 5: bool release }
struct LeaseReply { 1: bool granted, 2: i64 fence, 3: string holder, 4: i32 lease_ms, 5: i32 wait_ms }

// ---- portions of shared limits --------------------------------------------
struct PortionRequest { 1: string organisation, 2: double demand, 3: double used }
struct PortionsRequest { 1: string node, 2: string zone, 3: list<PortionRequest> portions }
struct Portion { 1: string organisation, 2: double rate }
// entries counts the nodes that lease portions now, this one included.
struct PortionsReply { 1: list<Portion> portions, 2: i32 lease_ms, 3: i32 entries }

// ---- orders to engines ------------------------------------------------------
struct GroupOrder {
  1: string group, 2: i64 fence, 3: string order_id, 4: string action,
  5: string body, 6: i32 deadline_ms,
}
struct GroupOrderReply { 1: bool accepted, 2: string body, 3: i64 highest_fence }
struct DecisionRequest { 1: string group, 2: i64 fence, 3: i64 switch_id, 4: string decision, 5: string body }
struct DecisionReply { 1: string decision, 2: i64 switch_id, 3: string body, 4: bool recorded }

// ---- commands and snapshots of the configuration group ----------------------
// Findings are those of the leader's check: the attempt is refused and kept.
struct ConfigCommand {
  1: i64 unix_ms, 2: i64 elapsed_ms, 3: optional ChangeRequest change, 4: list<Finding> findings,
  5: optional LeaseRequest lease, 6: optional DecisionRequest decision,
}
struct KeptAnswer { 1: string change_id, 2: i64 digest, 3: i64 clock_ms, 4: ChangeReply reply }
struct LeaseRecord { 1: string name, 2: string holder, 3: i64 fence, 4: i32 lease_ms }
struct ConfigSnapshot {
  1: i64 clock_ms, 2: i64 floor, 3: i64 revision, 4: list<Document> documents, 5: list<Document> history,
  6: list<AuditRecord> audit, 7: list<KeptAnswer> answers, 8: list<LeaseRecord> leases,
  9: list<DecisionRequest> decisions, 10: i64 index,
}

// ---- site: one atomic configuration, targets without an agent -------------
// A follower names what it has; the answer carries what is newer.  The book of
// announcements is soft state of one control host: epoch names its start and
// serial grows with each change of the book.
enum TargetState { READY = 1, LEAVING = 2, GONE = 3, SILENT = 4 }
struct SiteTarget {
  1: string id, 2: string service_name, 3: string address, 4: string zone, 5: i32 slots,
  6: TargetState state, 7: i64 sequence, 8: i32 cold_ms, 9: i64 born_ms,
}
// How much slower than usual a target works, in percent; 100 is its usual pace.
struct SitePace { 1: string id, 2: i32 percent }
// Whether the targets of a zone get no work; revision counts the zone's changes.
struct SiteZone { 1: string name, 2: bool is_evacuated, 3: i64 revision }
// The targets that share their passes; one that is not open makes none.
struct SiteGroup { 1: string name, 2: list<string> members, 3: bool is_open }
// A target that drains or is gone; at_ms is the Unix time at the host that was told.
struct SiteDeparture { 1: SiteTarget target, 2: i64 at_ms }
// What a log's snapshot holds once a zone was evacuated or a target has left; document as
// in a command.
struct SiteSnapshot { 1: binary document, 2: list<SiteZone> zones, 3: optional list<SiteDeparture> departures }
// zone_changes is the sum of the revisions of all zones that the follower holds.
struct SiteFeedRequest { 1: i64 version, 2: i64 epoch, 3: i64 serial, 4: i32 wait_ms, 5: i64 zone_changes, 6: i64 groups_serial,
  7: bool without_document }
// document is packed and only there if newer and not left out, as are zones if newer; members are control
// hosts and entries the followers, both as addresses of their links.  groups are
// those of the owner of a term, whole, if they have changed since groups_serial.
struct SiteFeedReply {
  1: i64 version, 2: optional binary document, 3: i64 epoch, 4: i64 serial, 5: list<SiteTarget> targets,
  6: list<string> members, 7: list<string> entries, 8: list<SitePace> paces,
  9: optional list<SiteZone> zones, 10: optional list<SiteGroup> groups, 11: i64 groups_serial,
  12: i64 groups_term,
}

// An entry tells how many of its calls each target has, and how many were answered
// and failed there of late.  It gets the sums of all entries at the targets at
// which these have changed since serial.
struct SiteCalls { 1: string id, 2: i32 calls, 3: i32 answered, 4: i32 failed }
// A crash of the target instance start: who saw it first, how long ago it was, and
// how long ago a call was last refused for it.  Suspects are marks of the calls that
// ran there: hashes of calls, and parts of prompts.  reach tells how far the longest
// answer got: 0 nothing, 1 begun; is_cleared that another answer got further.
struct SiteCrashSuspect { 1: binary mark, 2: i32 depth, 3: i32 reach, 4: bool is_cleared }
struct SiteCrash {
  1: string start, 2: string service_name, 3: string witness, 4: i32 lost_ms, 5: i32 used_ms,
  6: list<SiteCrashSuspect> suspects,
}
// Both sides tell the crashes that have changed since the other's crashes_serial.
// Fields 4 and 5 are no longer sent.
struct SiteLoadRequest { 1: i64 epoch, 2: i64 serial, 3: list<SiteCalls> own,
  6: optional list<SiteCrash> crashes, 7: i64 crashes_serial,
}
// entries counts those whose calls are in the sums.
struct SiteLoadReply { 1: i64 epoch, 2: i64 serial, 3: list<SiteCalls> changed,
  6: i32 entries, 7: optional list<SiteCrash> crashes, 8: i64 crashes_serial,
}

// An operator asks for a zone to be evacuated or taken back; without a name, how
// all zones are.
struct SiteZoneRequest { 1: optional string name, 2: bool is_evacuated, 3: string author }
struct SiteZoneReply { 1: list<SiteZone> zones }

// One request or reply each frame; exactly one field is set.
struct Request {
  1: optional VoteRequest vote, 2: optional AppendRequest append,
  3: optional SnapshotRequest snapshot, 4: optional ProposeRequest propose,
  5: optional MemberRequest member,
  6: optional ChangeRequest change, 7: optional ReadRequest documents, 8: optional AuditRequest audit,
  9: optional FeedRequest feed, 10: optional StatusRequest status,
  11: optional Announcement announce, 12: optional DrainRequest drain,
  13: optional ClaimRequest claim, 14: optional ClaimFinish claim_finish,
  15: optional ClaimLookup claim_lookup, 16: optional ClaimProbe claim_probe,
  17: optional LeaseRequest lease, 18: optional PortionsRequest portions,
  19: optional GroupOrder order, 20: optional DecisionRequest decision,
  21: optional LoadReport report, 22: optional SiteFeedRequest site,
  23: optional SiteLoadRequest site_load, 24: optional SiteZoneRequest site_zone,
}
struct Reply {
  1: optional Failure failure, 2: optional Done done,
  3: optional VoteReply vote, 4: optional AppendReply append, 5: optional SnapshotReply snapshot,
  6: optional ProposeReply propose, 7: optional MemberReply member,
  8: optional ChangeReply change, 9: optional ReadReply documents, 10: optional AuditReply audit,
  11: optional FeedReply feed, 12: optional StatusReply status,
  13: optional ClaimReply claim, 14: optional ClaimProof claim_proof,
  15: optional LeaseReply lease, 16: optional PortionsReply portions,
  17: optional GroupOrderReply order, 18: optional DecisionReply decision,
  19: optional SiteFeedReply site, 20: optional SiteLoadReply site_load,
  21: optional SiteZoneReply site_zone,
}

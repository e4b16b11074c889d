@0xb4c3a1d7e95f2068;
# Messages between daemons. Fields may only be added, never changed or removed, so
# that daemons of two versions can communicate during a rolling upgrade.

struct Envelope {
  stream @0 :UInt64;
  isAnswer @1 :Bool;
  union {
    helloSaid @2 :HelloSaid;
    heartbeatSent @3 :HeartbeatSent;
    heartbeatAnswered @4 :HeartbeatAnswered;
    batchAsked @5 :BatchAsked;
    batchTold @6 :BatchTold;
    recordsAsked @7 :RecordsAsked;
    recordsTold @8 :RecordsTold;
    sightAsked @9 :SightAsked;
    sightTold @10 :SightTold;
    lookAsked @11 :LookAsked;
    lookTold @12 :LookTold;
    suspicionTold @13 :SuspicionTold;
    shareAsked @14 :ShareAsked;
    shareGranted @15 :ShareGranted;
    ejectionAsked @16 :EjectionAsked;
    ejectionTold @17 :EjectionTold;
    bookHandedOver @18 :BookHandedOver;
    acknowledged @19 :Acknowledged;
    attemptOffered @20 :AttemptOffered;
    outcomeAsked @21 :OutcomeAsked;
    bodySent @22 :BodySent;
    bodyEnded @23 :BodyEnded;
    creditGranted @24 :CreditGranted;
    attemptCancelled @25 :AttemptCancelled;
    answerStarted @26 :AnswerStarted;
    answerContinued @27 :AnswerContinued;
    answerEnded @28 :AnswerEnded;
    attemptFailed @29 :AttemptFailed;
    shareRecalled @30 :ShareRecalled;
    targetViewTold @31 :TargetViewTold;
    holdingsAsked @32 :HoldingsAsked;
    holdingsTold @33 :HoldingsTold;
    leavingTold @34 :LeavingTold;
    recordDigestsAsked @35 :RecordDigestsAsked;
    recordDigestsTold @36 :RecordDigestsTold;
    retriesAsked @37 :RetriesAsked;
    retriesLent @38 :RetriesLent;
    changesAsked @39 :ChangesAsked;
    changesTold @40 :ChangesTold;
    storeReadTold @41 :StoreReadTold;
  }
}

struct DaemonId { name @0 :Text; incarnation @1 :UInt64; }
struct AttemptId { front @0 :DaemonId; request @1 :UInt64; attempt @2 :UInt32; }
struct TargetId { daemon @0 :Text; name @1 :Text; }
struct Address { host @0 :Text; port @1 :UInt16; }

struct TargetAnnouncement {
  name @0 :Text;
  service @1 :Text;
  address @2 :Address;
  slots @3 :UInt32;
  connections @4 :UInt32;
  instance @5 :Text;
  isDraining @6 :Bool;
  reportPath @7 :Text;
}

struct TargetRun {
  name @0 :Text;
  instance @1 :Text;
  startedAt @2 :UInt64;
  isLeaving @3 :Bool;
}

struct MemberRecord {
  daemon @0 :DaemonId;
  sequence @1 :UInt64;
  address @2 :Address;
  zone @3 :Text;
  phase @4 :Text;
  targets @5 :List(TargetAnnouncement);
  runs @6 :List(TargetRun);
}

struct HelloSaid { version @0 :UInt32; daemon @1 :DaemonId; record @2 :MemberRecord; }
struct RegionHeard { region @0 :Text; ageSeconds @1 :Float64; }

struct HeartbeatSent {
  revision @0 :UInt64;
  membersDigest @1 :UInt64;
  regions @2 :List(RegionHeard);
  era @3 :UInt32;
}

struct HeartbeatAnswered {
  revision @0 :UInt64;
  membersDigest @1 :UInt64;
  leaseSeconds @2 :Float64;
  freshSeconds @3 :Float64;
  views @4 :List(TargetViewTold);
  loads @5 :List(ServiceLoadTold);
  zones @6 :ZonesTold;
  reserved7 @7 :Void;
  era @8 :UInt32;
  wholeTicket @9 :UInt64;
}

struct ServiceDemandTold { service @0 :Text; perSecond @1 :Float32; }

struct ZoneLoadTold {
  zone @0 :Text;
  service @1 :Text;
  demand @2 :Float32;
  capacity @3 :Float32;
  ageSeconds @4 :Float32;
}

struct ZonesTold {
  demands @0 :List(ServiceDemandTold);
  loads @1 :List(ZoneLoadTold);
  isMeasured @2 :Bool;
}

struct ServiceLoadTold {
  service @0 :Text;
  targets @1 :UInt32;
  slots @2 :Float64;
  free @3 :Float64;
  running @4 :Float64;
  throughput @5 :Float64;
  seconds @6 :Float64;
  queued @7 :List(UInt32);
  calls @8 :List(CallsTold);
}

struct CallsTold { service @0 :Text; perRun @1 :Float64; route @2 :Text; }

struct TargetViewTold {
  name @0 :Text;
  service @1 :Text;
  limit @2 :UInt32;
  busy @3 :UInt32;
  isEjected @4 :Bool;
  isTrial @5 :Bool;
  logLatency @6 :Float64;
  risk @7 :Float64;
  calls @8 :List(CallsTold);
  isDue @9 :Bool;
  isOverdue @10 :Bool;
  waitSeconds @11 :Float64;
  queued @12 :List(UInt32);
  runCalls @13 :List(CallsTold);
}

struct BatchAsked { after @0 :UInt64; knownTickets @1 :List(UInt64); }
struct ChangesAsked {
  baseTicket @0 :UInt64;
  wholeTicket @1 :UInt64;
  digest @2 :UInt64;
  offset @3 :UInt64;
}
struct ChangesTold { data @0 :Data; }
struct StoreReadTold {
  reader @0 :DaemonId;
  number @1 :UInt64;
  revision @2 :UInt64;
  era @3 :UInt32;
}

struct BatchTold {
  after @0 :UInt64;
  upTo @1 :UInt64;
  states @2 :Data;
  assignments @3 :Data;
  wholeTicket @4 :UInt64;
  era @5 :UInt32;
  wholeRevision @6 :UInt64;
  baseTicket @7 :UInt64;
  changes @8 :Data;
  changesSize @9 :UInt64;
  changesDigest @10 :UInt64;
  wholeDigest @11 :UInt64;
}

struct RecordsAsked { digests @0 :List(UInt64); }  # Empty for all records.
struct RecordDigestsAsked { buckets @0 :List(UInt64); }
struct RecordDigestsTold { digests @0 :List(UInt64); }
struct RecordsTold { records @0 :List(MemberRecord); }
struct LeavingTold { daemon @0 :Text; runs @1 :List(TargetRun); }
struct RetriesAsked { service @0 :Text; retries @1 :Float64; }
struct RetriesLent { service @0 :Text; retries @1 :Float64; }
struct SightAsked {}
struct SightTold { isAway @0 :Bool; reachedForSeconds @1 :Float64; }
struct LookAsked { name @0 :Text; }
struct LookTold { name @0 :Text; isLive @1 :Bool; }
struct SuspicionTold { daemon @0 :DaemonId; }

struct ShareAsked {
  team @0 :Text;
  holder @1 :DaemonId;
  sequence @2 :UInt64;
  heldUnits @3 :UInt32;
  heldTokens @4 :UInt32;
  returnedLevel @5 :Float64;
  demand @6 :Float64;
  wantedTokens @7 :UInt32;
  isTokensOnly @8 :Bool;
}

struct ShareGranted {
  team @0 :Text;
  sequence @1 :UInt64;
  isKnown @2 :Bool;
  bookedUnits @3 :UInt32;
  addedUnits @4 :UInt32;
  addedLevel @5 :Float64;
  addedTokens @6 :UInt32;
  targetUnits @7 :UInt32;
  retryAfter @8 :Float64;
  isWaiting @9 :Bool;
}

struct ShareRecalled { team @0 :Text; }

struct HeldShare {
  team @0 :Text;
  holder @1 :DaemonId;
  units @2 :UInt32;
  tokens @3 :UInt32;
  sequence @4 :UInt64;
}

struct HoldingsAsked { shard @0 :UInt32; }
struct HoldingsTold { shard @0 :UInt32; lines @1 :List(HeldShare); }

struct BookHandedOver {
  shard @0 :UInt32;
  epoch @1 :UInt64;
  lines @2 :List(HeldShare);
  successor @3 :Text;
}

struct EjectionAsked {
  service @0 :Text;
  target @1 :TargetId;
  guard @2 :DaemonId;
  sequence @3 :UInt64;
  slots @4 :UInt32;
  isWanted @5 :Bool;
  isHeld @6 :Bool;
}

struct EjectionTold {
  service @0 :Text;
  target @1 :TargetId;
  sequence @2 :UInt64;
  isGranted @3 :Bool;
}

struct Acknowledged {}

struct AttemptOffered {
  attempt @0 :AttemptId;
  target @1 :Text;
  service @2 :Text;
  team @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :Text;  # Lines of the form name:value, as in HTTP.
  deadlineSeconds @7 :Float64;
  isIdempotent @8 :Bool;
  hasBody @9 :Bool;
  traceparent @10 :Text;
  requestId @11 :Text;
  priority @12 :UInt32;
  mustStartNow @13 :Bool;
  mostRisk @14 :Float64;
  objectiveSeconds @15 :Float64;
  sentAt @16 :Float64;
  isForDue @17 :Bool;
  isCall @18 :Bool;
  route @19 :Text;
}

struct OutcomeAsked { offered @0 :AttemptOffered; }
struct BodySent { data @0 :Data; }
struct BodyEnded {}
struct CreditGranted { size @0 :UInt32; }
struct AttemptCancelled {}
struct AnswerStarted { status @0 :UInt16; headers @1 :Text; }
struct AnswerContinued { data @0 :Data; }
struct AnswerEnded { trailers @0 :Text; }

struct AttemptFailed {
  code @0 :Text;
  detail @1 :Text;
  verdict @2 :Text;
  retryAfter @3 :Float64;
}

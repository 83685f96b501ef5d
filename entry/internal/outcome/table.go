package outcome

// Reason identifies the point at which a request failed.
type Reason string

// Reasons, in the order in which a request can meet them.
const (
	ReasonKeyWithdrawn   Reason = "keyWithdrawn"
	ReasonNoLease        Reason = "noLease"
	ReasonUnknownRoute   Reason = "unknownRoute"
	ReasonRouteClosed    Reason = "routeClosed"
	ReasonKeyInStatement Reason = "keyInStatement"
	ReasonReservedName   Reason = "reservedName"
	ReasonQuota          Reason = "quota"
	ReasonNoPrimary      Reason = "noPrimary"
	ReasonNoServer       Reason = "noServer"
	ReasonQueue          Reason = "queue"
	ReasonConnect        Reason = "connect"
	ReasonHome           Reason = "home"
	ReasonScope          Reason = "scope"
	ReasonBehind         Reason = "behind"
	ReasonRefusedBefore  Reason = "refusedBefore"
	ReasonRolledBack     Reason = "rolledBack"
	ReasonAnswerLost     Reason = "answerLost"
	ReasonAnswerTime     Reason = "answerTime"
	ReasonNotConfirmed   Reason = "notConfirmed"
	ReasonAnswerSize     Reason = "answerSize"
	ReasonCallerGone     Reason = "callerGone"
	ReasonStopping       Reason = "stopping"
)

const (
	hintRetry     = "It is safe to send the request again."
	hintCheck     = "Look whether the request took effect before you send it again."
	hintRateLimit = "Send the request again once the workspace is within its rate."
)

// Row defines the failure for one reason.
type Row struct {
	Reason   Reason
	SQLState SQLState
	// Message is sent to the caller.
	Message string
	Hint    string
}

// Table defines the failure for each reason.
var Table = []Row{
	{ReasonKeyWithdrawn, KeyWithdrawn, "not run: the key of this connection has been withdrawn", "Connect again with a granted key."},
	{ReasonNoLease, NotRun, "not run: the entry has no valid configuration and serves only routes that allow it", hintRetry},
	{ReasonUnknownRoute, NotRun, "not run: the request names a route that the service does not have", "Correct the name of the route."},
	{ReasonRouteClosed, NotRun, "not run: the route is not open to callers without a key", "Connect with a key."},
	{ReasonKeyInStatement, NotRun, "not run: the request contains the caller's key", "Send the key as the password only."},
	{ReasonReservedName, NotRun, "not run: the request names a reserved parameter", "Do not use names that begin with lentilwind."},
	{ReasonQuota, QuotaExceeded, "not run: the workspace is over its rate", hintRateLimit},
	{ReasonNoPrimary, NoPrimary, "not run: the group has no primary", hintRetry},
	{ReasonNoServer, NotRun, "not run: no server can serve the request", hintRetry},
	{ReasonQueue, NotRun, "not run: no connection would come free in time", hintRetry},
	{ReasonConnect, NotRun, "not run: the database cannot be reached", hintRetry},
	{ReasonHome, NotRun, "not run: no entry with connections to the database can be reached", hintRetry},
	{ReasonScope, NotRun, "not run: the database did not take the scope of the request", hintRetry},
	{ReasonBehind, NotRun, "not run: no server shows a state that is new enough", hintRetry},
	{ReasonRefusedBefore, NotRun, "not run: the database refused the request before it ran", hintRetry},
	{ReasonRolledBack, NotRun, "not run: the transaction was rolled back", hintRetry},
	{ReasonAnswerLost, Unknown, "outcome unknown: the request was sent and its answer was lost", hintCheck},
	{ReasonAnswerTime, Unknown, "outcome unknown: the request was sent and no answer came in time", hintCheck},
	{ReasonNotConfirmed, Unknown, "outcome unknown: no majority of the group confirmed the write in time", hintCheck},
	{ReasonAnswerSize, Unknown, "outcome unknown: the answer of the write is too large", hintCheck},
	{ReasonCallerGone, Unknown, "outcome unknown: the caller did not take the answer in time", hintCheck},
	{ReasonStopping, AdminShutdown, "not run: the entry is stopping", "Connect again."},
}

// ForReason returns the failure that the table defines for a reason.
func ForReason(reason Reason, cause error) *Failure {
	for _, row := range Table {
		if row.Reason == reason {
			return &Failure{SQLState: row.SQLState, Message: row.Message, Hint: row.Hint, Reason: reason, Cause: cause}
		}
	}
	panic("outcome: no table row for reason " + string(reason))
}

// IsNotRun reports whether the table guarantees that a request with this reason took no effect.
func IsNotRun(reason Reason) bool {
	return ForReason(reason, nil).SQLState != Unknown
}

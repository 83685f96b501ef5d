package outcome

// Reason names the point at which a request failed.
type Reason string

// The points at which a request can fail, in the order in which a request meets them.
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
	hintAgain  = "It is safe to send the request again."
	hintLook   = "Look whether the request took effect before you send it again."
	hintSlower = "Send the request again once the workspace is within its rate."
)

// Row is one line of the table of outcomes.
type Row struct {
	Reason   Reason
	SQLState SQLState
	// Message is sent to the caller.
	Message string
	Hint    string
}

// Table lists each point at which a request can fail, with what the caller is told there.
var Table = []Row{
	{ReasonKeyWithdrawn, KeyWithdrawn, "not run: the key of this connection has been withdrawn", "Connect again with a granted key."},
	{ReasonNoLease, NotRun, "not run: the entry has no valid configuration and serves only routes that allow it", hintAgain},
	{ReasonUnknownRoute, NotRun, "not run: the request names a route that the service does not have", "Correct the name of the route."},
	{ReasonRouteClosed, NotRun, "not run: the route is not open to callers without a key", "Connect with a key."},
	{ReasonKeyInStatement, NotRun, "not run: the request contains the caller's key", "Send the key as the password only."},
	{ReasonReservedName, NotRun, "not run: the request names a reserved parameter", "Do not use names that begin with lentilwind."},
	{ReasonQuota, QuotaExceeded, "not run: the workspace is over its rate", hintSlower},
	{ReasonNoPrimary, NoPrimary, "not run: the group has no primary", hintAgain},
	{ReasonNoServer, NotRun, "not run: no server can serve the request", hintAgain},
	{ReasonQueue, NotRun, "not run: no connection would come free in time", hintAgain},
	{ReasonConnect, NotRun, "not run: the database cannot be reached", hintAgain},
	{ReasonHome, NotRun, "not run: no entry with connections to the database can be reached", hintAgain},
	{ReasonScope, NotRun, "not run: the database did not take the scope of the request", hintAgain},
	{ReasonBehind, NotRun, "not run: no server shows a state that is new enough", hintAgain},
	{ReasonRefusedBefore, NotRun, "not run: the database refused the request before it ran", hintAgain},
	{ReasonRolledBack, NotRun, "not run: the transaction was rolled back", hintAgain},
	{ReasonAnswerLost, Unknown, "outcome unknown: the request was sent and its answer was lost", hintLook},
	{ReasonAnswerTime, Unknown, "outcome unknown: the request was sent and no answer came in time", hintLook},
	{ReasonNotConfirmed, Unknown, "outcome unknown: no majority of the group confirmed the write in time", hintLook},
	{ReasonAnswerSize, Unknown, "outcome unknown: the answer of the write is too large", hintLook},
	{ReasonCallerGone, Unknown, "outcome unknown: the caller did not take the answer in time", hintLook},
	{ReasonStopping, AdminShutdown, "not run: the entry is stopping", "Connect again."},
}

// ForReason returns the failure for a point of the table.
func ForReason(reason Reason, cause error) *Failure {
	for _, row := range Table {
		if row.Reason == reason {
			return &Failure{SQLState: row.SQLState, Message: row.Message, Hint: row.Hint, Reason: reason, Cause: cause}
		}
	}
	panic("outcome: the table lacks " + string(reason))
}

// IsNotRun tells whether the table promises for this point that the request took no effect.
func IsNotRun(reason Reason) bool {
	return ForReason(reason, nil).SQLState != Unknown
}

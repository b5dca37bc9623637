// Package bluebellquarantine finds parts of calls that crash endpoints, and keeps calls with them
// from reaching further ones. Such a part, a subject, is a block of a prompt or a whole call.
//
// # Evidence
//
// When an endpoint crashes, all calls at it end. Those whose answer had not begun are suspect with
// all their subjects. One crash accuses many sound subjects, but a subject whose calls are answered
// completely afterwards is cleared, so only a subject that crashes every endpoint collects crashes.
// Each entry, a process that takes calls, keeps a Guard with what it has observed itself, and
// reports it to a core process. The core processes add up the reports in a Ledger and exchange
// them. They tell entries which subjects are suspect, so that entries which have served one say so.
//
// # Verdict
//
// Judge convicts a subject after Strikes crashes at different moments without a complete answer in
// between. Endpoints that end together, as those of a failure domain do, count as one crash, unless one
// of them is known to have been alive after another had crashed. The crashes of a convicted subject
// accuse no other subject. Of subjects with the same crashes, the most specific one is convicted, which
// refuses the fewest calls. If most crashes of the time have other causes, or another call was there at
// each of them, it takes twice as many.
//
// A connection may also be lost while its endpoint goes on. The endpoint then answers later calls of the
// entry, or registers again, and the crash no longer counts. Nothing else withdraws it: an entry whose
// connections to all endpoints fail cannot tell lost links from endpoints that a call has crashed.
//
// The leader of the core processes stores verdicts in the replicated log (bluebellstate), so they
// outlive every process, and entries receive them with the deployment. A verdict ends after its
// term, if a call with the subject is answered all the same, or when an operator lifts it. After
// the term a single crash convicts the subject again, for twice the term.
//
// An entry that reaches no core process with a leader keeps the verdicts that it knows and convicts
// by its own evidence.
//
// The evidence of an entry is bounded by MaxSubjects and that of a core process by the number of
// entries; a flood of subjects that never repeat evicts the oldest.
//
// # Usage
//
//	guard := bluebellquarantine.NewGuard()
//	guard.SetVerdicts(now, verdicts)
//	if verdict, blocked := guard.Blocked(now, subjects); blocked {
//		// Refuse the call.
//	}
//	guard.RecordCrash(bluebellquarantine.Crash{Endpoint: incarnation, At: now}, subjects)
//	guard.RecordServed(now, subjects)
//	suspects := guard.Report(now)
//
//	ledger.Record(entry, now, bluebellquarantine.Report{Number: number, Suspects: suspects})
//	for _, s := range bluebellquarantine.Judge(ledger.Suspects(now), history) {
//		// Propose the verdict on s.
//	}
package bluebellquarantine

// Package bluebellconfig reads a team's questionnaire, checks it and generates
// the configuration from it.
//
// # Usage
//
//	q, findings := bluebellconfig.ParseQuestionnaire("answers.jsonc", data)
//	if findings.Empty() {
//		configuration := bluebellconfig.Generate(q)
//		settings := bluebellconfig.ProcessSettings(q, configuration)
//	}
//
// All that is wrong is found in one pass and reported together, each finding
// with its file, line and column and with the values that are accepted. The
// same answers always generate the same bytes, so that the output differs in
// version control only where the answers do.
package bluebellconfig

// Package bluebellconfig reads the questionnaire that a team fills in, checks the answers
// and generates from them the configuration of the system and the settings of its
// processes.
//
// # Usage
//
//	q, findings := bluebellconfig.ParseQuestionnaire("answers.jsonc", data)
//	if findings.Empty() {
//		configuration := bluebellconfig.Generate(q)
//		settings := bluebellconfig.ProcessSettings(q, configuration)
//	}
//
// The parser reports all errors that it finds in one pass. Each finding has the file,
// line and column of the error and, where possible, the accepted values. Equal answers
// generate equal bytes, so that the generated files differ in version control only where
// the answers differ.
package bluebellconfig

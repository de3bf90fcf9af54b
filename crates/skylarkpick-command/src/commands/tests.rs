//! Tests of the help texts, the examples and the error messages of the commands.

use super::all_commands;
use crate::{Console, run_with};
use std::{
    io::Write,
    sync::{Arc, Mutex},
};

/// A writer that collects output in memory.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

#[test]
fn examples_have_their_expected_status_and_output() {
    // Paths in examples are relative to the root of the repository.
    std::env::set_current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).unwrap();
    for command in all_commands() {
        for example in command.examples() {
            let (results, messages) = (Sink::default(), Sink::default());
            let mut console =
                Console::with_writers(Box::new(results.clone()), Box::new(messages.clone()));
            let mut arguments = vec![command.name().to_string()];
            arguments.extend(example.arguments.iter().map(|argument| argument.to_string()));
            let exit = run_with(&arguments, &mut console);
            let (results, messages) = (results.text(), messages.text());
            assert_eq!(exit, example.exit, "{arguments:?}\n{results}\n{messages}");
            assert!(
                results.contains(example.expected_output),
                "{arguments:?}\n{results}\n{messages}"
            );
        }
    }
}

#[test]
fn unknown_commands_suggest_a_similar_name() {
    struct Case {
        name: &'static str,
        message: &'static str,
    }
    let cases = [
        Case { name: "dmeo", message: "did you mean \"demo\"?" },
        Case { name: "versoin", message: "did you mean \"version\"?" },
        Case { name: "xyzzy", message: "see `skylarkpick help`" },
    ];
    for case in cases {
        let messages = Sink::default();
        let mut console =
            Console::with_writers(Box::new(Sink::default()), Box::new(messages.clone()));
        let exit = run_with(&[case.name.to_string()], &mut console);
        assert_eq!(exit, crate::Exit::UsageError);
        assert!(messages.text().contains(case.message), "{}", messages.text());
    }
}

#[test]
fn invalid_options_report_a_suggestion_or_the_allowed_range() {
    struct Case {
        arguments: &'static [&'static str],
        message: &'static str,
    }
    let cases = [
        Case { arguments: &["demo", "--jsn"], message: "did you mean '--json'?" },
        Case { arguments: &["config", "get", "--entyr", "x"], message: "did you mean '--entry'?" },
        Case { arguments: &["version", "--zzz"], message: "Unrecognized option: 'zzz'" },
        Case { arguments: &["overhead", "--rate", "0"], message: "--rate cannot be 0" },
    ];
    for case in cases {
        let messages = Sink::default();
        let mut console =
            Console::with_writers(Box::new(Sink::default()), Box::new(messages.clone()));
        let arguments: Vec<String> = case.arguments.iter().map(|word| word.to_string()).collect();
        assert_eq!(run_with(&arguments, &mut console), crate::Exit::UsageError, "{arguments:?}");
        assert!(messages.text().contains(case.message), "{}", messages.text());
    }
}

#[test]
fn every_command_has_a_help_text_and_an_example() {
    for command in all_commands() {
        let results = Sink::default();
        let mut console =
            Console::with_writers(Box::new(results.clone()), Box::new(Sink::default()));
        let arguments = [command.name().to_string(), "--help".to_string()];
        assert_eq!(run_with(&arguments, &mut console), crate::Exit::Success);
        assert!(results.text().contains("Usage: skylarkpick"), "{}", results.text());
        assert!(!command.examples().is_empty(), "{} has no example", command.name());
    }
}

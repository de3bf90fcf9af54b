//! Runs the examples of every command.

use super::all_commands;
use crate::{Console, run_with};
use std::{
    io::Write,
    sync::{Arc, Mutex},
};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, piece: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(piece);
        Ok(piece.len())
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
fn examples_do_what_they_say() {
    // Paths in examples start from the root of the repository.
    std::env::set_current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).unwrap();
    for command in all_commands() {
        for example in command.examples() {
            let (results, messages) = (Sink::default(), Sink::default());
            let mut console = Console::to(Box::new(results.clone()), Box::new(messages.clone()));
            let mut arguments = vec![command.name().to_string()];
            arguments.extend(example.arguments.iter().map(|argument| argument.to_string()));
            let exit = run_with(&arguments, &mut console);
            let (results, messages) = (results.text(), messages.text());
            assert_eq!(exit, example.exit, "{arguments:?}\n{results}\n{messages}");
            assert!(results.contains(example.shows), "{arguments:?}\n{results}\n{messages}");
        }
    }
}

#[test]
fn misspelt_commands_get_a_hint() {
    struct Case {
        name: &'static str,
        says: &'static str,
    }
    let cases = [
        Case { name: "dmeo", says: "did you mean \"demo\"?" },
        Case { name: "versoin", says: "did you mean \"version\"?" },
        Case { name: "xyzzy", says: "see `skylarkpick help`" },
    ];
    for case in cases {
        let messages = Sink::default();
        let mut console = Console::to(Box::new(Sink::default()), Box::new(messages.clone()));
        let exit = run_with(&[case.name.to_string()], &mut console);
        assert_eq!(exit, crate::Exit::WrongUse);
        assert!(messages.text().contains(case.says), "{}", messages.text());
    }
}

#[test]
fn misspelt_options_get_a_hint() {
    struct Case {
        arguments: &'static [&'static str],
        says: &'static str,
    }
    let cases = [
        Case { arguments: &["demo", "--jsn"], says: "did you mean '--json'?" },
        Case { arguments: &["config", "get", "--entyr", "x"], says: "did you mean '--entry'?" },
        Case { arguments: &["version", "--zzz"], says: "Unrecognized option: 'zzz'" },
        Case { arguments: &["overhead", "--rate", "0"], says: "--rate cannot be 0" },
    ];
    for case in cases {
        let messages = Sink::default();
        let mut console = Console::to(Box::new(Sink::default()), Box::new(messages.clone()));
        let arguments: Vec<String> = case.arguments.iter().map(|word| word.to_string()).collect();
        assert_eq!(run_with(&arguments, &mut console), crate::Exit::WrongUse, "{arguments:?}");
        assert!(messages.text().contains(case.says), "{}", messages.text());
    }
}

#[test]
fn every_command_explains_itself() {
    for command in all_commands() {
        let results = Sink::default();
        let mut console = Console::to(Box::new(results.clone()), Box::new(Sink::default()));
        let arguments = [command.name().to_string(), "--help".to_string()];
        assert_eq!(run_with(&arguments, &mut console), crate::Exit::Success);
        assert!(results.text().contains("Usage: skylarkpick"), "{}", results.text());
        assert!(!command.examples().is_empty(), "{} has no example", command.name());
    }
}

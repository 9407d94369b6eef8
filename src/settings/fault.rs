//! Faults in settings, each printed on one line.

use quick_error::quick_error;

quick_error! {
    /// A fault in one setting, flag or operand.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum Fault {
        /// The value is not allowed.
        NotAllowed { setting: String, value: String, allowed: String } {
            display("{setting}: {value:?} is not allowed; allowed: {allowed}")
        }
        /// The secret is invalid; its value is not printed.
        SecretNotAllowed { setting: String, cause: String } {
            display("{setting}: value hidden: {cause}")
        }
        /// The setting is required but was not given.
        Missing { setting: String, allowed: String } {
            display("{setting}: missing; allowed: {allowed}")
        }
        /// The command has no such flag.
        UnknownFlag { flag: String, command: &'static str } {
            display("{flag}: unknown flag; see `radishpin {command} --help`")
        }
        /// The flag needs a value.
        NoValue { flag: String, allowed: String } {
            display("{flag}: has no value; allowed: {allowed}")
        }
        /// The flag takes no value.
        UnwantedValue { flag: String } {
            display("{flag}: takes no value")
        }
        /// The flag was given more than once.
        Repeated { flag: String } {
            display("{flag}: given more than once; allowed: once")
        }
        /// An operand is missing, unknown or superfluous.
        Operand { operand: String, allowed: String } {
            display("{operand}: not allowed here; allowed: {allowed}")
        }
        /// Two settings contradict each other.
        Contradiction { setting: String, value: String, allowed: String } {
            display("{setting}: {value} contradicts another setting; allowed: {allowed}")
        }
    }
}

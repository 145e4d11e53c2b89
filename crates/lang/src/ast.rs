//! Abstract syntax tree of statements.

use dw_base::DurationMs;

/// Kind of object that a statement refers to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A limit, named `<organisation>|<service>` or `<organisation>|*`.
    Limit,
    /// A model.
    Model,
    /// A router or agent process. Nodes are discovered and cannot be declared.
    Node,
    /// A person or program that is authorised to send statements.
    Operator,
    /// An organisation.
    Organisation,
    /// A service.
    Service,
    /// A deployment-wide setting.
    Setting,
    /// An upstream.
    Upstream,
}

impl Kind {
    /// All kinds in alphabetical order.
    pub const ALL: [Kind; 8] = [
        Kind::Limit,
        Kind::Model,
        Kind::Node,
        Kind::Operator,
        Kind::Organisation,
        Kind::Service,
        Kind::Setting,
        Kind::Upstream,
    ];
}

/// A single value.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    /// A whole number.
    Integer(u64),
    /// A number with a decimal point.
    Decimal(f64),
    /// A duration, for example `250ms`.
    Duration(DurationMs),
    /// A rate per second, for example `50/s`.
    Rate(f64),
    /// An unquoted word or a quoted string.
    Text(String),
}

/// A value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// One value.
    Scalar(Scalar),
    /// A list, written in brackets.
    List(Vec<Scalar>),
}

/// Assignment of a value to a field.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Value,
}

/// Comparison operator of a filter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// The field equals the value.
    Equal,
    /// The field differs from the value.
    NotEqual,
    /// The field is less than the value.
    Less,
    /// The field is less than or equal to the value.
    LessEqual,
    /// The field is greater than the value.
    Greater,
    /// The field is greater than or equal to the value.
    GreaterEqual,
    /// The field is a list or string that contains the value.
    Contains,
}

impl Comparison {
    /// All operators, ordered so that no operator starts with an earlier one.
    pub const ALL: [Comparison; 7] = [
        Comparison::NotEqual,
        Comparison::LessEqual,
        Comparison::GreaterEqual,
        Comparison::Equal,
        Comparison::Less,
        Comparison::Greater,
        Comparison::Contains,
    ];
}

/// A condition of a `list` query.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter {
    /// Field.
    pub field: String,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value.
    pub value: Scalar,
}

/// A read-only statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    /// `explain request <id>`
    ExplainRequest(String),
    /// `show <kind> <name>`
    Show {
        /// Kind.
        kind: Kind,
        /// Name.
        name: String,
    },
    /// `list <kind> [where <field> <op> <value> [and ...]]`
    List {
        /// Kind.
        kind: Kind,
        /// Conditions, joined by `and`.
        filters: Vec<Filter>,
    },
    /// `show prefix <hash>`
    ShowPrefix(String),
    /// `show config`
    ShowConfig,
    /// `history [limit <n>]`
    History {
        /// Maximum number of changes to show.
        limit: Option<u64>,
    },
}

/// A statement that changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `declare <kind> <name> <field>=<value> ...`
    Declare {
        /// Kind; never a limit or node.
        kind: Kind,
        /// Name.
        name: String,
        /// Fields.
        fields: Vec<Field>,
    },
    /// `alter <kind> <name> <field>=<value> ...`
    Alter {
        /// Kind; never a limit or node.
        kind: Kind,
        /// Name.
        name: String,
        /// Fields, at least one.
        fields: Vec<Field>,
    },
    /// `delete <kind> <name>`
    Delete {
        /// Kind; never a node.
        kind: Kind,
        /// Name.
        name: String,
    },
    /// `drain upstream <name>`
    Drain {
        /// Upstream.
        upstream: String,
    },
    /// `resume upstream <name>`
    Resume {
        /// Upstream.
        upstream: String,
    },
    /// `load model <name> weights <n>`
    Load {
        /// Model.
        model: String,
        /// Version of the weights.
        weights: u64,
    },
    /// `limit organisation <name> [service <s>] [requests=<n>/s] [tokens=<n>/s]`
    Limit {
        /// Organisation.
        organisation: String,
        /// Service; `None` if the limit applies to the sum over all services.
        service: Option<String>,
        /// Maximum requests per second.
        requests_per_s: Option<f64>,
        /// Maximum tokens per second.
        tokens_per_s: Option<f64>,
    },
}

/// A statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query.
    Query(Query),
    /// A command.
    Command(Command),
}

/// A statement and its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned {
    /// Byte offset of the first token.
    pub offset: usize,
    /// Statement.
    pub statement: Statement,
}

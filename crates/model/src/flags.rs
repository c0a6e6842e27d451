//! The command line.

xflags::xflags! {
    /// Searches the specification of the core protocol exhaustively.
    cmd reedford-model {
        /// Prints the shortest counterexample of one mutation.
        optional --mutation name: String
        /// Searches only `Ownership`, `Permits`, `Claims`,
        /// `Configuration`, `Orders` or `Coordinator`.
        optional --spec name: String
    }
}

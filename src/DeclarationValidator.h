/// @file Checks that need more than one item of a declaration: names, references, cycles, limits.
#pragma once

#include "Declaration.h"

namespace Camphor {

/// An item of a declaration together with its place in the text.
template <typename T>
struct Located
{
    T value;
    SettingsNode node;
};

/// Everything that a declaration's text holds, before it is known to be valid.
struct DeclarationParts
{
    std::vector<Located<ServiceDeclaration>> services;
    std::vector<Located<TeamDeclaration>> teams;
    std::vector<Located<FailureDomainDeclaration>> domains;
    std::vector<Located<LedgerDeclaration>> ledgers;
    Located<RetentionDeclaration> retention;
    SettingsNode root;
};

/// The one validator of the operators' tool, the control group and the entries.
class DeclarationValidator
{
public:
    /// Throws UserError for the first problem, with file, line, column, key and a fix.
    static void check(const DeclarationParts &parts);
};

} // namespace Camphor

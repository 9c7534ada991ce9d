/// @file Checks that involve more than one item of a declaration: names, references, cycles,
/// limits.
#pragma once

#include "Declaration.h"

namespace Camphor {

/// An item of a declaration and its location in the text.
template <typename T>
struct Located
{
    T value;
    SettingsNode node;
};

/// The content of a declaration's text before validation.
struct DeclarationParts
{
    std::vector<Located<ServiceDeclaration>> services;
    std::vector<Located<TeamDeclaration>> teams;
    std::vector<Located<FailureDomainDeclaration>> domains;
    std::vector<Located<LedgerDeclaration>> ledgers;
    Located<RetentionDeclaration> retention;
    SettingsNode root;
};

/// The validator that the operators' tool, the control group and the entries share.
class DeclarationValidator
{
public:
    /// Throws UserError for the first problem found, with file, line, column, key and a fix.
    static void check(const DeclarationParts &parts);
};

} // namespace Camphor

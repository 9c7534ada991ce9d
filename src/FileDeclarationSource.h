/// @file A declaration source that reads a file, for an entry that runs without a control group.
#pragma once

#include "DeclarationSource.h"

#include <memory>
#include <string>

namespace Camphor {

/// Delivers the text of one file once, as the version after the last applied one.
class FileDeclarationSource : public DeclarationSource
{
public:
    /// Reads and validates the file. @return an error if it can't be read or is not valid.
    [[nodiscard]] static Result<std::shared_ptr<FileDeclarationSource>>
    make(const std::string &path);

    void subscribe(std::uint64_t lastVersion, Callback callback) override;
    void stop() override { }

private:
    explicit FileDeclarationSource(std::string text);

    std::string m_text;
};

} // namespace Camphor

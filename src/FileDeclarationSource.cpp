#include "FileDeclarationSource.h"

#include <fstream>
#include <sstream>

namespace Camphor {

FileDeclarationSource::FileDeclarationSource(std::string text)
    : m_text(std::move(text))
{
}

Result<std::shared_ptr<FileDeclarationSource>> FileDeclarationSource::make(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorCode::InvalidSettings,
                     path + ": cannot be read. Fix: check the path and its permissions"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (const auto declaration = Declaration::parse(path, text.str()); !declaration)
        return declaration.error();
    return std::shared_ptr<FileDeclarationSource>(new FileDeclarationSource(std::move(text).str()));
}

void FileDeclarationSource::subscribe(std::uint64_t lastVersion, Callback callback)
{
    callback({lastVersion + 1, m_text});
}

} // namespace Camphor

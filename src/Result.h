/// @file Typed errors and the result type returned by static factory functions.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

namespace Camphor {

/// Kind of an error, for code that handles it.
enum class ErrorCode {
    InvalidSettings,
    InvalidDeclaration,
    InvalidRequest,
    InvalidMessage,
    TooLarge,
    Timeout,
    ConnectionRefused, ///< No connection was established, so nothing was sent.
    ConnectionLost, ///< The connection ended after at least a part was sent.
    Conflict,
    NotFound,
    Unavailable,
    Expired, ///< The request had become too old and was not handled.
    Storage,
};

/// Returns the name of an error code as it appears in logs and responses.
[[nodiscard]] const char *errorCodeName(ErrorCode code);

/// An error with a human-readable message.
struct Error
{
    ErrorCode code;
    std::string message;

    auto operator<=>(const Error &) const = default;
};

/// Thrown for an error caused by the user or the environment.
class UserError : public std::runtime_error
{
public:
    explicit UserError(Error error)
        : std::runtime_error(error.message)
        , m_error(std::move(error))
    {
    }

    [[nodiscard]] const Error &error() const { return m_error; }

private:
    Error m_error;
};

/// Thrown when an internal invariant of the program does not hold.
class InternalError : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// Either a value or an error.
template <typename T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): a factory returns its value directly.
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error) // NOLINT(google-explicit-constructor): as above.
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    [[nodiscard]] bool isOk() const { return m_state.index() == 0; }
    explicit operator bool() const { return isOk(); }

    /// Returns the value. Throws UserError when this holds an error.
    [[nodiscard]] const T &value() const &
    {
        if (!isOk())
            throw UserError(std::get<1>(m_state));
        return std::get<0>(m_state);
    }
    [[nodiscard]] T &&value() &&
    {
        if (!isOk())
            throw UserError(std::get<1>(m_state));
        return std::get<0>(std::move(m_state));
    }

    /// Returns the error. Must only be called when isOk() is false.
    [[nodiscard]] const Error &error() const { return std::get<1>(m_state); }

private:
    std::variant<T, Error> m_state;
};

/// Result of an operation without a value.
using Status = Result<std::monostate>;

/// Returns a successful Status.
[[nodiscard]] inline Status okStatus() { return Status{std::monostate{}}; }

[[noreturn]] void failAssertion(const char *condition, const char *file, int line);

} // namespace Camphor

/// Throws InternalError when the condition does not hold; also in release builds.
#define CAMPHOR_ASSERT(condition) \
    do { \
        if (!(condition)) \
            ::Camphor::failAssertion(#condition, __FILE__, __LINE__); \
    } while (false)

/// @file Compiles Boost.Asio and Boost.Beast once, so that no other file pays for their templates.
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

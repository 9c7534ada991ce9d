/// @file Compiles Boost.Asio and Boost.Beast once, so that no other translation unit instantiates
/// them.
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

#include "utf8.hpp"

#include <boost/locale/utf.hpp>

namespace mimosavalve::gateway {

bool is_utf8(std::string_view bytes) {
    namespace utf = boost::locale::utf;
    const auto* position = bytes.data();
    const auto* end = position + bytes.size();
    while (position != end) {
        const auto character = utf::utf_traits<char>::decode(position, end);
        if (character == utf::illegal || character == utf::incomplete) {
            return false;
        }
    }
    return true;
}

}  // namespace mimosavalve::gateway

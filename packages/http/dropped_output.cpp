#include "http/dropped_output.h"

namespace appleramp {

std::string_view nameOf(output_loss cause)
{
    switch (cause) {
    case output_loss::Idle:
        return "idle";
    case output_loss::Overflow:
        return "overflow";
    case output_loss::PeerGone:
        break;
    }
    return "peer_gone";
}

} // namespace appleramp

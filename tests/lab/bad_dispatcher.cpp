// A dispatcher that is wrong on purpose: serves each request with what no worker made, every third one not at
// all. The lab's judge must find it out.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

using boost::asio::ip::tcp;

namespace {

void serve(tcp::socket socket) {
  std::string text;
  char bytes[2048];
  boost::system::error_code fault;
  for (int n = 1; !fault; ++n) {
    text.clear();
    while (!fault && text.find("\r\n\r\n") == std::string::npos)
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), fault));
    if (!text.starts_with("GET") && n % 3 == 0) std::this_thread::sleep_for(std::chrono::seconds(30));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nmade up";
    if (!fault) boost::asio::write(socket, boost::asio::buffer(answer), fault);
  }
}

}  // namespace

int main() {
  std::ifstream file(std::getenv("EDGE_CONFIG"));
  const std::string listen = nlohmann::json::parse(file)["listen"];
  const auto port = static_cast<std::uint16_t>(std::stoi(listen.substr(listen.rfind(':') + 1)));
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  while (true) std::thread(serve, acceptor.accept()).detach();
}

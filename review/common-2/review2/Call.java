package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One request of a requester on a channel of its own, which is closed after the answer. */
final class Call {
  /** What came back; the status is 0 if nothing came. */
  static final class Answer {
    int status;
    String head = "";
    String body = "";
    boolean timedOut;
  }

  private final int port;
  private final String method;
  private final String target;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private byte[] body = {};
  private int patienceMs = 15_000;

  private Call(int port, String method, String target) {
    this.port = port;
    this.method = method;
    this.target = target;
  }

  static Call of(int port, String method, String target, String host) {
    return new Call(port, method, target).with("Host", host);
  }

  Call with(String name, String value) {
    headers.put(name, value);
    return this;
  }

  Call body(byte[] b) {
    body = b;
    return this;
  }

  /** Sets the time after which the requester leaves if nothing more comes. */
  Call patience(int ms) {
    patienceMs = ms;
    return this;
  }

  Answer send() throws IOException {
    Answer a = new Answer();
    try (Socket s = new Socket()) {
      s.setTcpNoDelay(true);
      s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
      s.setSoTimeout(patienceMs);
      StringBuilder h = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((k, v) -> h.append(k).append(": ").append(v).append("\r\n"));
      h.append("Connection: close\r\n");
      if (body.length > 0) {
        h.append("Content-Length: ").append(body.length).append("\r\n");
      }
      h.append("\r\n");
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(h.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(body);
      s.getOutputStream().write(out.toByteArray());
      ByteArrayOutputStream in = new ByteArrayOutputStream();
      try {
        InputStream is = s.getInputStream();
        byte[] b = new byte[8192];
        for (int n = is.read(b); n >= 0; n = is.read(b)) {
          in.write(b, 0, n);
        }
      } catch (SocketTimeoutException e) {
        a.timedOut = true;
      }
      String all = in.toString(StandardCharsets.ISO_8859_1);
      int end = all.indexOf("\r\n\r\n");
      if (all.startsWith("HTTP/1.1 ") && end > 0) {
        a.status = Integer.parseInt(all.substring(9, 12));
        a.head = all.substring(0, end);
        a.body = all.substring(end + 4);
      }
    }
    return a;
  }
}

package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the request boundaries that the scanner finds, wherever the byte stream is split. */
public class FramingScannerTest {
  private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\n";
  private static final String FIXED_LENGTH = HEAD + "Content-Length: 3\r\n\r\nabc";
  private static final String CHUNKED =
      HEAD
          + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\nt: 1\r\n\r\n";
  private static final String BODILESS = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

  /** Byte streams, with the number of complete requests, or -1 if there is a framing fault. */
  @DataProvider
  public Object[][] streams() {
    return new Object[][] {
      {BODILESS, 1},
      {BODILESS + FIXED_LENGTH + CHUNKED + BODILESS, 4},
      {CHUNKED + FIXED_LENGTH + FIXED_LENGTH, 3},
      {HEAD + "Content-Length: 0\r\n\r\n" + BODILESS, 2},
      {HEAD + "Content-Length: 3\r\n\r\nabcPOST", 1},
      {HEAD + "Content-Length: 3, 3\r\n\r\nabc", -1},
      {HEAD + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", -1},
      {HEAD + "Content-Length: 1111111111111111111\r\n\r\nabc", -1},
      {HEAD + "Content-Length:\r\n\r\n", -1},
      {HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: gzip\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding\u000b: chunked\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n 1\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n1111111111111111\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n1 \t; x\r\na\r\n0\r\nt:\r\n\r\n", 1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nt : 1\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n t: 1\r\n\r\n", -1},
      {HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nt\r\n\r\n", -1},
      {HEAD + "X: a\rb\r\n\r\n", -1},
      {HEAD + "X: a\0\r\n\r\n", -1},
      {HEAD + "X: a\u0001b\r\n\r\n", -1},
      {HEAD + "X: a\u007fb\r\n\r\n", -1},
      {HEAD + "X: \ta\tb\t\r\n\r\n", 1},
      {HEAD + "X: é\u0080ÿ\r\n\r\n", 1},
      {HEAD + "!#$%&'*+-.^_`|~09azAZ: v\r\n\r\n", 1},
      {BODILESS + "GET /b HTTP/1.1\nHost: h\r\n\r\n", -1},
    };
  }

  @Test(dataProvider = "streams")
  public void everySplitGivesSameResult(String text, int requests) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Optional<Integer> unsplit = faultOffset(bytes, bytes.length);
    assertEquals(unsplit.isPresent(), requests < 0, text);
    for (int split = 0; split < bytes.length; split++) {
      assertEquals(faultOffset(bytes, split), unsplit, "split at " + split);
    }
  }

  @Test(dataProvider = "streams")
  public void libraryAgreesOnValidStreams(String text, int requests) {
    if (requests < 0) {
      return;
    }
    EmbeddedChannel library = new EmbeddedChannel(new HttpRequestDecoder());
    library.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    int ends = 0;
    for (Object part = library.readInbound(); part != null; part = library.readInbound()) {
      ends += part instanceof LastHttpContent ? 1 : 0;
      assertEquals(part instanceof HttpRequest head && head.decoderResult().isFailure(), false);
      io.netty.util.ReferenceCountUtil.release(part);
    }
    assertEquals(ends, requests);
    library.finishAndReleaseAll();
  }

  /** Returns the offset of the first fault in the stream, scanned in two parts. */
  private static Optional<Integer> faultOffset(byte[] bytes, int split) {
    FramingScanner scanner = new FramingScanner(new MessageKind.Requests());
    ByteBuf first = Unpooled.wrappedBuffer(bytes, 0, split);
    Optional<Integer> found = scanner.scan(first).map(FramingScanner.Fault::offset);
    if (found.isPresent()) {
      return found;
    }
    ByteBuf second = Unpooled.wrappedBuffer(bytes, split, bytes.length - split);
    return scanner.scan(second).map(fault -> split + fault.offset());
  }
}

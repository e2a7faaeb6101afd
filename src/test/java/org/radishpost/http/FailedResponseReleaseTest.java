package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.NettyPipeline;

/** Tests that a response that fails its request closes the connection and keeps no bytes. */
public class FailedResponseReleaseTest {
  private static final String ID = "X-Request-Id";
  private static final String OWN = response("b", "own");
  private static final String COPY = response("a", "copy");

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\n"
        + (ID + ": " + id + "\r\nX-Signature: s\r\n")
        + ("Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Returns what a target sends for request b. */
  @DataProvider
  public Object[][] failingBytes() {
    String withoutLength = OWN.replace("Content-Length: 3\r\n", "");
    String large = response("b", "x".repeat(4_000)).substring(0, 2_000);
    return new Object[][] {
      {"copy without an ID", COPY.replace(ID + ": a\r\n", "") + OWN},
      {"copy cut in its status line", "HTTP/1.1 200 O" + OWN},
      {"copy cut in a field", COPY.substring(0, 25) + OWN},
      {"copy cut in its body", COPY.replace("copy", "") + OWN},
      {"copy that hides the response", response("a", "x".repeat(900)).substring(0, 200) + OWN},
      {"copy without a length", COPY.replace("Content-Length: 4\r\n", "") + OWN},
      {"copy larger than the limit", response("a", "x".repeat(262_145)) + OWN},
      {"another protocol", "HTTP/1.1 101 Switch\r\n" + ID + ": b\r\n\r\n" + OWN},
      {"copy behind a body without a length", withoutLength + OWN + COPY},
      {"copy in a body that falls short", large + OWN + "x".repeat(3_000) + COPY},
    };
  }

  @Test(dataProvider = "failingBytes")
  public void failedResponseKeepsNoBytesAndClosesConnection(String name, String bytes) {
    for (int partLength : new int[] {bytes.length(), 1_000, 7}) {
      EmbeddedChannel channel = new EmbeddedChannel();
      channel
          .pipeline()
          .addLast(NettyPipeline.HttpCodec, new HttpClientCodec())
          .addLast(new ClosingClient());
      ResponseHandlers.addTo(channel.pipeline(), Optional.of(ID), new ResponseCounters());
      ConnectionHistory.of(channel).tryAdd(Optional.of("a"));
      ConnectionHistory.of(channel).tryAdd(Optional.of("b"));
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
      request.headers().set(ID, "b");
      channel.writeOutbound(request);
      List<ByteBuf> parts = new ArrayList<>();
      for (int start = 0; start < bytes.length() && channel.isOpen(); start += partLength) {
        String part = bytes.substring(start, Math.min(bytes.length(), start + partLength));
        parts.add(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        channel.writeInbound(parts.getLast());
      }
      assertFalse(channel.isOpen(), name + " in parts of " + partLength);
      channel.finishAndReleaseAll();
      long kept = parts.stream().filter(part -> part.refCnt() > 0).count();
      assertEquals(kept, 0, name + " in parts of " + partLength);
    }
  }

  /** Releases what it receives, and closes the connection of a response that failed. */
  private static final class ClosingClient extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      boolean malformed = message instanceof HttpObject part && part.decoderResult().isFailure();
      ReferenceCountUtil.release(message);
      if (malformed) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}

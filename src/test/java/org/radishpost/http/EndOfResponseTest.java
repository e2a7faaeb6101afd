package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.NettyPipeline;

/** Tests which ends of a connection complete which responses. */
public class EndOfResponseTest {
  private static final String ID = "X-Request-Id: 1\r\n";
  private static final String LARGE_HALF = "x".repeat(270_000);

  private record End(String name, Consumer<EmbeddedChannel> apply) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static final End PEER =
      new End(
          "end of stream",
          channel -> channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE));

  private static final List<End> OWN_ENDS =
      List.of(
          new End("close", Channel::close),
          new End("transport close", channel -> channel.unsafe().close(channel.voidPromise())),
          new End(
              "error",
              channel ->
                  channel.pipeline().fireExceptionCaught(new IOException("Connection reset"))),
          new End(
              "close, then the end of the stream",
              channel -> {
                channel.close();
                PEER.apply().accept(channel);
              }));

  /** Returns responses that are not whole, however their connection ends. */
  private static List<String> framedHalves() {
    return List.of(
        "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            + ID
            + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            + ID
            + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.0 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 8\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n" + ID + "Content-Length: 8\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 8\r\n\r\n",
        "HTTP/1.0 200 OK\r\n" + ID + "Content-Length: 8\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 600000\r\n\r\n" + LARGE_HALF,
        "HTTP/1.1 205 Reset Content\r\n" + ID + "Content-Length: 8\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n" + ID + "X-A: b\r\n",
        "HTTP/1.0 200 OK\r\n" + ID);
  }

  /** Returns responses that only the end of the peer's stream completes. */
  private static List<String> closeDelimited() {
    return List.of(
        "HTTP/1.1 200 OK\r\n" + ID + "\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n" + ID + "\r\nhalf",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n" + ID + "\r\nhalf",
        "HTTP/1.0 200 OK\r\n" + ID + "\r\nhalf",
        "HTTP/1.0 200 OK\r\n" + ID + "\r\n",
        "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: gzip\r\n\r\nhalf",
        "HTTP/1.1 205 Reset Content\r\n" + ID + "\r\nhalf",
        "HTTP/1.1 404 Not Found\r\n" + ID + "\r\nhalf",
        "HTTP/1.1 200 OK\r\n" + ID + "\r\n" + LARGE_HALF);
  }

  /** Returns half responses with each end that does not complete them. */
  @DataProvider
  public Object[][] badEnds() {
    List<Object[]> rows = new ArrayList<>();
    for (String response : framedHalves()) {
      rows.add(new Object[] {response, PEER});
      OWN_ENDS.forEach(end -> rows.add(new Object[] {response, end}));
    }
    for (String response : closeDelimited()) {
      OWN_ENDS.forEach(end -> rows.add(new Object[] {response, end}));
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "badEnds")
  public void halfResponseIsNotCompleted(String response, Object end) {
    assertEquals(isCompleted(response, (End) end), false);
  }

  /** Returns responses that the end of the peer's stream completes. */
  @DataProvider
  public Object[][] closeDelimitedResponses() {
    return closeDelimited().stream().map(text -> new Object[] {text}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "closeDelimitedResponses")
  public void endOfPeerCompletesResponse(String response) {
    assertEquals(isCompleted(response, PEER), true);
  }

  private static boolean isCompleted(String response, End end) {
    EndRecorder recorder = new EndRecorder();
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpClientCodec()).addLast(recorder);
    ResponseHandlers.addTo(channel.pipeline(), Optional.of("X-Request-Id"), new ResponseCounters());
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    request.headers().set("X-Request-Id", "1");
    channel.writeOutbound(request);
    channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
    end.apply().accept(channel);
    channel.runPendingTasks();
    channel.releaseOutbound();
    channel.close();
    return recorder.completed;
  }

  /** Records whether a response was completed without an error before. */
  private static final class EndRecorder extends ChannelInboundHandlerAdapter {
    private boolean completed;
    private boolean failed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        failed = true;
      }
      completed |= message instanceof LastHttpContent && !failed;
      ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed = true;
    }
  }
}

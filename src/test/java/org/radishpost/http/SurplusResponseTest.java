package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.NettyPipeline;

/**
 * Tests each moment at which a connection can read a response that no request waits for. Whatever
 * it is, a request gets its own response or fails at once: it neither gets another one nor waits.
 */
public class SurplusResponseTest {
  private static final String ID = "X-Request-Id";
  private static final String CLOSED = "closed";
  private static final String OPEN = "open";
  private static final String FAILED = "error " + CLOSED;
  private static final String COPY_A = response("a", "copy");
  private static final String COPY_WITHOUT_ID = COPY_A.replace(ID + ": a\r\n", "");
  private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  private static final String OWN_B = response("b", "own");
  private static final String FAILURE_B = OWN_B.replace("200 OK", "500 Failed");
  private static final Step REQUEST_A = new Step.Request("a", HttpMethod.GET);
  private static final Step REQUEST_B = new Step.Request("b", HttpMethod.GET);
  private static final Step UPLOAD_B = new Step.UploadHead("b");
  private static final Step ANSWER_A = new Step.Read(response("a", "first"));
  private static final String GOT_A = "200 a first end ";
  private static final String GOT_B = "200 b own end ";

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\n"
        + (ID + ": " + id + "\r\n")
        + ("Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static String bodiless(String status, String id) {
    return "HTTP/1.1 " + status + "\r\n" + ID + ": " + id + "\r\n\r\n";
  }

  private static String chunked(String id, String chunks) {
    return "HTTP/1.1 200 OK\r\n"
        + ID
        + ": "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunks;
  }

  private static Step read(String text) {
    return new Step.Read(text);
  }

  /** The connection is idle, or was taken by a request that has not been written. */
  @DataProvider
  public Object[][] idle() {
    return rows(
        row("a copy", GOT_A + CLOSED, REQUEST_A, ANSWER_A, read(COPY_A)),
        row("a copy without an ID", GOT_A + CLOSED, REQUEST_A, ANSWER_A, read(COPY_WITHOUT_ID)),
        row("a refusal", GOT_A + CLOSED, REQUEST_A, ANSWER_A, read(REFUSAL)),
        row("half of a head", GOT_A + CLOSED, REQUEST_A, ANSWER_A, read("HTTP/1.1 2")),
        row(
            "an interim response",
            GOT_A + CLOSED,
            REQUEST_A,
            ANSWER_A,
            read(bodiless("103 E", "a"))),
        row("before the first request", CLOSED, read(COPY_A)),
        row(
            "without a length",
            GOT_A + CLOSED,
            REQUEST_A,
            ANSWER_A,
            read(COPY_A.replace("Content-Length: 4\r\n", ""))),
        row(
            "in the segment of the response",
            GOT_A + CLOSED,
            REQUEST_A,
            read(response("a", "first") + COPY_A)),
        row(
            "in the segment of a response without a body",
            "204 a end " + CLOSED,
            REQUEST_A,
            read(bodiless("204 None", "a") + COPY_A)),
        row(
            "a copy of a response without a body",
            "304 a end " + CLOSED,
            REQUEST_A,
            read(bodiless("304 Same", "a") + bodiless("304 Same", "a"))),
        row(
            "a copy of the response to HEAD",
            "200 a end " + CLOSED,
            new Step.Request("a", HttpMethod.HEAD),
            read(bodiless("200 OK", "a") + bodiless("200 OK", "a"))),
        row(
            "behind the response to an upload that is under way",
            GOT_B + CLOSED,
            UPLOAD_B,
            read(OWN_B + OWN_B)));
  }

  @Test(dataProvider = "idle")
  public void idleConnectionIsClosedBySurplusResponse(Row row) {
    assertEquals(play(row.steps()), row.expected());
  }

  /** A request waits: its head, and all or a part of its body, have been written. */
  @DataProvider
  public Object[][] waiting() {
    return rows(
        row("a copy", GOT_B + OPEN, REQUEST_B, read(COPY_A), read(OWN_B)),
        row("a copy in one segment", GOT_B + OPEN, REQUEST_B, read(COPY_A + OWN_B)),
        row(
            "chunks",
            GOT_B + OPEN,
            REQUEST_B,
            read(chunked("a", "4\r\ncopy\r\n0\r\n\r\n") + OWN_B)),
        row("no body", GOT_B + OPEN, REQUEST_B, read(bodiless("204 None", "a") + OWN_B)),
        row("not modified", GOT_B + OPEN, REQUEST_B, read(bodiless("304 Same", "a") + OWN_B)),
        row("interim", GOT_B + OPEN, REQUEST_B, read(bodiless("103 E", "a") + OWN_B)),
        row(
            "continue",
            "100 a end " + GOT_B + OPEN,
            REQUEST_B,
            read(bodiless("100 C", "a") + OWN_B)),
        row("amid an upload", GOT_B + OPEN, UPLOAD_B, read(COPY_A + OWN_B)),
        row(
            "amid the body of an upload",
            GOT_B + OPEN,
            UPLOAD_B,
            new Step.BodyPart(),
            read(COPY_A),
            new Step.LastPart(),
            read(OWN_B)),
        row(
            "head over two segments",
            GOT_B + OPEN,
            REQUEST_B,
            read(COPY_A.substring(0, 12)),
            read(COPY_A.substring(12) + OWN_B)),
        row("without an ID", FAILED, REQUEST_B, read(COPY_WITHOUT_ID + OWN_B)),
        row("without an ID, upload", FAILED, UPLOAD_B, read(COPY_WITHOUT_ID + OWN_B)),
        row(
            "a refusal without an ID",
            GOT_A + FAILED,
            REQUEST_A,
            ANSWER_A,
            REQUEST_B,
            read(REFUSAL)),
        row("another protocol", FAILED, REQUEST_B, read(bodiless("101 Switch", "b"))),
        row("larger than the limit", FAILED, REQUEST_B, read(response("a", "x".repeat(262_145)))),
        row(
            "without a length",
            FAILED,
            REQUEST_B,
            read(COPY_A.replace("Content-Length: 4\r\n", "") + OWN_B)),
        row("malformed chunks", FAILED, REQUEST_B, read(chunked("a", "zz\r\ncopy\r\n") + OWN_B)),
        row(
            "cut in its body",
            FAILED,
            REQUEST_B,
            read(response("a", "x".repeat(999)).substring(0, 200) + OWN_B)),
        row("cut in a chunk", FAILED, REQUEST_B, read(chunked("a", "fff\r\ncopy") + OWN_B)));
  }

  @Test(dataProvider = "waiting")
  public void waitingRequestGetsOwnResponseOrFailsAtOnce(Row row) {
    assertEquals(play(row.steps()), row.expected());
  }

  /** Returns heads that are cut, with the response of the waiting request behind them. */
  @DataProvider
  public Object[][] cutHeads() {
    String head = "HTTP/1.1 200 OK\r\nServer: x\r\n" + ID + ": a\r\nX-Signature: s\r\n\r\n";
    return IntStream.rangeClosed(1, head.length() - 1)
        .mapToObj(
            length ->
                row(
                    "after " + length + " bytes",
                    FAILED,
                    REQUEST_B,
                    read(head.substring(0, length) + FAILURE_B)))
        .map(cut -> new Object[] {cut})
        .toArray(Object[][]::new);
  }

  /** The codec makes one head of both, with the status of the first. */
  @Test(dataProvider = "cutHeads")
  public void successThatWasCutInItsHeadIsNotStatusOfFailureBehindIt(Row row) {
    assertEquals(play(row.steps()), row.expected());
  }

  private static Row row(String name, String expected, Step... steps) {
    return new Row(name, expected, List.of(steps));
  }

  private static Object[][] rows(Row... rows) {
    return Arrays.stream(rows).map(row -> new Object[] {row}).toArray(Object[][]::new);
  }

  private static String play(List<Step> steps) {
    Recorder recorder = new Recorder();
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpClientCodec()).addLast(recorder);
    ResponseHandlers.addTo(channel.pipeline(), Optional.of(ID), new ResponseCounters());
    steps.forEach(step -> play(step, channel));
    boolean open = channel.isOpen();
    channel.finishAndReleaseAll();
    return recorder.text + (open ? OPEN : CLOSED);
  }

  private static void play(Step step, EmbeddedChannel channel) {
    switch (step) {
      case Step.Request request -> {
        writeHead(channel, request.method(), request.id());
        channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);
      }
      case Step.UploadHead upload -> writeHead(channel, HttpMethod.POST, upload.id());
      case Step.BodyPart part ->
          channel.writeOutbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[5])));
      case Step.LastPart part -> channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);
      case Step.Read bytes ->
          channel.writeInbound(Unpooled.copiedBuffer(bytes.text(), StandardCharsets.ISO_8859_1));
    }
  }

  private static void writeHead(EmbeddedChannel channel, HttpMethod method, String id) {
    ConnectionHistory.of(channel).tryAdd(Optional.of(id));
    DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/");
    request.headers().set(ID, id).set("Transfer-Encoding", "chunked");
    channel.writeOutbound(request);
  }

  /**
   * A case of the table.
   *
   * @param name says what arrives
   * @param expected what the client receives, and whether the connection stays open
   * @param steps what happens on the connection
   */
  private record Row(String name, String expected, List<Step> steps) {
    @Override
    public String toString() {
      return name;
    }
  }

  /** Something that happens on a connection. */
  private sealed interface Step {
    /** A request without a body is written. */
    record Request(String id, HttpMethod method) implements Step {}

    /** The head of an upload is written. */
    record UploadHead(String id) implements Step {}

    /** A part of the body of an upload is written. */
    record BodyPart() implements Step {}

    /** The end of the body of an upload is written. */
    record LastPart() implements Step {}

    /** Bytes of the target are read. */
    record Read(String text) implements Step {}
  }

  /** Records what the client receives, up to the first error. */
  private static final class Recorder extends ChannelInboundHandlerAdapter {
    private final StringBuilder text = new StringBuilder();
    private boolean failed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        fail(context);
      }
      if (message instanceof HttpResponse response) {
        HttpResponseStatus status = response.status();
        record(status.code() + " " + response.headers().get(ID, "none") + " ");
      }
      if (message instanceof HttpContent content && content.content().isReadable()) {
        record(content.content().toString(StandardCharsets.ISO_8859_1) + " ");
      }
      if (message instanceof LastHttpContent) {
        record("end ");
      }
      ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(context);
    }

    /** A client fails a malformed response, and closes its connection. */
    private void fail(ChannelHandlerContext context) {
      record("error ");
      failed = true;
      context.close();
    }

    private void record(String what) {
      if (!failed) {
        text.append(what);
      }
    }
  }
}

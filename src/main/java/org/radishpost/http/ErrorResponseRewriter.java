package org.radishpost.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import org.radishpost.lib.Verdict;

/**
 * Turns the refusals that the HTTP library writes by itself into problem documents.
 *
 * <p>One for each connection, behind the codec. Answers of this program bear a mark, which it takes
 * off.
 */
final class ErrorResponseRewriter extends ChannelOutboundHandlerAdapter {
  /** Set on a connection while a target may have a part of the request that is being read. */
  static final AttributeKey<Boolean> MAY_RUN = AttributeKey.valueOf("radishpost-may-run");

  /** Tells whether a target may have a part of the request that is being read. */
  static boolean mayRun(Channel channel) {
    return Boolean.TRUE.equals(channel.attr(MAY_RUN).get());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    context.write(
        message instanceof HttpResponse response ? rewrite(context, response) : message, promise);
  }

  private static HttpResponse rewrite(ChannelHandlerContext context, HttpResponse response) {
    boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim || response.headers().contains(HeaderNames.WRITTEN_MARKER)) {
      response.headers().remove(HeaderNames.WRITTEN_MARKER);
      return response;
    }
    if (!(response instanceof FullHttpResponse full)) {
      return response;
    }
    full.release();
    return problemResponse(context, response.status().code());
  }

  private static HttpResponse problemResponse(ChannelHandlerContext context, int status) {
    Verdict verdict = mayRun(context.channel()) ? Verdict.UNKNOWN : Verdict.NOT_RUN;
    Problem problem = Problems.fromLibraryStatus(status, verdict);
    Response problemFields = Response.of(problem);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(problem.toJson()));
    response.headers().add(problemFields.headers()).set("connection", "close");
    return response;
  }
}

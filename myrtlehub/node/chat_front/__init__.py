"""The chat front: serves `Chat.Generate` and `Chat.Resume` to clients.

    chat_front        decodes requests, checks limits, and passes sequences to the action executor
    chat_call         one client's call: encodes the response, applies back-pressure, handles a disconnect
    request_message   decodes the protobuf request
    admission_queue   requests that wait for admission, if admission control is configured

The router decides where a sequence runs (see `myrtlehub.node.action_executor`). `myrtlehub.limits.admission`
decides which requests are admitted and which are shed.
"""

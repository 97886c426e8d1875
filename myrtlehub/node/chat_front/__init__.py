"""The chat front: serves `Chat.Generate` and `Chat.Resume` to clients.

    chat_front        the methods: decodes a request, checks the limits, passes it to the action executor
    chat_call         one client's call: encodes the response, applies back-pressure, handles a disconnect
    request_message   the protobuf request as a `DecodedRequest`
    admission_queue   requests that wait for admission, if the settings have admission control

The router decides where a sequence runs (`myrtlehub.node.action_executor`), and `myrtlehub.limits.admission`
what is admitted and what is shed.
"""

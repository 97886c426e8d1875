"""The public services: `.proto` files, and the code that protoc generates from them."""
